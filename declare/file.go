// This file defines how declarations are read from YAML files, with the file
// and line of each object kept for messages.

package declare

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/juju/errors"
)

// Position is a place in a file of declarations. Lines count from 1.
type Position struct {
	File string
	Line int
}

// String gives "file:line".
func (p Position) String() string { return fmt.Sprintf("%s:%d", p.File, p.Line) }

// Loaded is one object and where it was read.
type Loaded struct {
	Object   Object
	Position Position
}

// FileError is a fault in a file of declarations.
type FileError struct {
	Position Position
	Message  string
}

// Error gives "file:line: message".
func (e *FileError) Error() string { return e.Position.String() + ": " + e.Message }

// ReadFolder reads every .yaml file of a folder, in order of their names.
// All faults of all files come back together.
func ReadFolder(dir string) ([]Loaded, []error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil || len(names) == 0 {
		return nil, []error{errors.NotFoundf("a .yaml file in %q", dir)}
	}
	sort.Strings(names)
	var all []Loaded
	var faults []error
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			faults = append(faults, errors.Trace(err))
			continue
		}
		loaded, errs := Parse(name, data)
		all = append(all, loaded...)
		faults = append(faults, errs...)
	}
	return all, append(faults, twice(all)...)
}

func twice(all []Loaded) []error {
	seen := make(map[Ref]Position, len(all))
	var faults []error
	for _, l := range all {
		ref := l.Object.Ref()
		if first, ok := seen[ref]; ok {
			faults = append(faults, &FileError{l.Position, fmt.Sprintf("%s is already declared at %s", ref, first)})
			continue
		}
		seen[ref] = l.Position
	}
	return faults
}

// Parse reads the documents of one file. Each document has a kind and the
// fields of that kind; an unknown field is an error.
func Parse(name string, data []byte) ([]Loaded, []error) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, []error{fileError(name, 0, err)}
	}
	var all []Loaded
	var faults []error
	for _, doc := range file.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.NullType {
			continue
		}
		loaded, err := parseDoc(name, doc.Body)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		all = append(all, loaded)
	}
	return all, faults
}

func parseDoc(name string, body ast.Node) (Loaded, error) {
	mapping, ok := body.(*ast.MappingNode)
	if !ok {
		return Loaded{}, fileError(name, body.GetToken().Position.Line, errors.New("a declaration must be a mapping with a kind"))
	}
	line := firstLine(mapping)
	kind, rest := takeKind(mapping)
	object, err := decodeSpec(kind, func(into any) error {
		return yaml.NewDecoder(bytes.NewReader(nil), yaml.Strict()).DecodeFromNode(rest, into)
	})
	if err != nil {
		return Loaded{}, fileError(name, line, err)
	}
	return Loaded{object, Position{name, line}}, nil
}

// firstLine finds where a mapping begins: its own token is the first colon.
func firstLine(m *ast.MappingNode) int {
	if len(m.Values) == 0 {
		return m.GetToken().Position.Line
	}
	return m.Values[0].Key.GetToken().Position.Line
}

func takeKind(m *ast.MappingNode) (Kind, *ast.MappingNode) {
	rest := *m
	rest.Values = nil
	var kind Kind
	for _, value := range m.Values {
		if value.Key.String() == "kind" {
			kind = Kind(strings.Trim(value.Value.String(), `"' `))
			continue
		}
		rest.Values = append(rest.Values, value)
	}
	return kind, &rest
}

// fileError turns an error of the YAML library, which knows the line, into
// ours.
func fileError(name string, line int, err error) error {
	var known yaml.Error
	if errors.As(err, &known) && known.GetToken() != nil {
		return &FileError{Position{name, known.GetToken().Position.Line}, known.GetMessage()}
	}
	return &FileError{Position{name, line}, err.Error()}
}
