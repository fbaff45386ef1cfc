// This file defines the parsing of declarations from YAML files. It records the file and
// line of each object for error messages.

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

// Position is a line of a declaration file. Lines count from 1.
type Position struct {
	File string
	Line int
}

// String returns "file:line".
func (p Position) String() string { return fmt.Sprintf("%s:%d", p.File, p.Line) }

// LoadedObject is an object that was read from a file, and its position there.
type LoadedObject struct {
	Object   Object
	Position Position
}

// FileError is an error at a position in a declaration file.
type FileError struct {
	Position Position
	Message  string
}

// Error returns "file:line: message".
func (e *FileError) Error() string { return e.Position.String() + ": " + e.Message }

// ReadFolder reads the .yaml files of a folder in the order of their names. It reads all
// of them even if some have errors, and returns all objects and all errors. An object that
// is declared twice is an error.
func ReadFolder(dir string) ([]LoadedObject, []error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil || len(names) == 0 {
		return nil, []error{errors.NotFoundf("a .yaml file in %q", dir)}
	}
	sort.Strings(names)
	var all []LoadedObject
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
	return all, append(faults, findDuplicates(all)...)
}

// findDuplicates returns an error for each object whose kind and name were declared before.
func findDuplicates(loaded []LoadedObject) []error {
	seen := make(map[Ref]Position, len(loaded))
	var faults []error
	for _, l := range loaded {
		ref := l.Object.Ref()
		if first, ok := seen[ref]; ok {
			faults = append(faults, &FileError{l.Position, fmt.Sprintf("%s is already declared at %s", ref, first)})
			continue
		}
		seen[ref] = l.Position
	}
	return faults
}

// Parse reads the YAML documents of one file. Each document has a kind and the fields of
// that kind; an unknown field is an error. Parse skips documents with errors and returns
// the objects of the others. name is the file name for error messages.
func Parse(name string, data []byte) ([]LoadedObject, []error) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, []error{newFileError(name, 0, err)}
	}
	var all []LoadedObject
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

func parseDoc(name string, body ast.Node) (LoadedObject, error) {
	mapping, ok := body.(*ast.MappingNode)
	if !ok {
		return LoadedObject{}, newFileError(name, body.GetToken().Position.Line, errors.New("a declaration must be a mapping with a kind"))
	}
	line := firstLine(mapping)
	kind, rest := splitKind(mapping)
	object, err := decodeSpec(kind, func(into any) error {
		return yaml.NewDecoder(bytes.NewReader(nil), yaml.Strict()).DecodeFromNode(rest, into)
	})
	if err != nil {
		return LoadedObject{}, newFileError(name, line, err)
	}
	return LoadedObject{object, Position{name, line}}, nil
}

// firstLine returns the line on which a mapping begins. It uses the token of the first
// key, because the token of the mapping itself is the first colon.
func firstLine(m *ast.MappingNode) int {
	if len(m.Values) == 0 {
		return m.GetToken().Position.Line
	}
	return m.Values[0].Key.GetToken().Position.Line
}

// splitKind returns the value of the "kind" key and a copy of the mapping without it.
func splitKind(m *ast.MappingNode) (Kind, *ast.MappingNode) {
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

// newFileError converts an error into a *FileError. The position is that of the YAML
// library's error if it has one, else the given line.
func newFileError(name string, line int, err error) error {
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) && yamlErr.GetToken() != nil {
		return &FileError{Position{name, yamlErr.GetToken().Position.Line}, yamlErr.GetMessage()}
	}
	return &FileError{Position{name, line}, err.Error()}
}
