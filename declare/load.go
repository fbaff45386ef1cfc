// This file defines how a folder of declarations becomes a change.

package declare

import (
	"strings"

	"github.com/juju/errors"
)

// LoadErrors joins the faults found while reading files.
type LoadErrors []error

// Error gives one fault a line.
func (e LoadErrors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Puts gives the envelopes of all objects read.
func Puts(loaded []Loaded) []Envelope {
	puts := make([]Envelope, len(loaded))
	for i, l := range loaded {
		puts[i] = Envelope{l.Object}
	}
	return puts
}

// Locate puts the file and line of an object in front of each fault of a
// *FaultsError; any other error comes back as it is.
func Locate(err error, loaded []Loaded) error {
	var faults *FaultsError
	if !errors.As(err, &faults) {
		return err
	}
	positions := make(map[Ref]Position, len(loaded))
	for _, l := range loaded {
		positions[l.Object.Ref()] = l.Position
	}
	var out LoadErrors
	for _, fault := range faults.Faults {
		if at, ok := positions[fault.Ref]; ok {
			out = append(out, &FileError{at, fault.String()})
			continue
		}
		out = append(out, errors.New(fault.String()))
	}
	return out
}

// LoadConfig reads a folder and gives the configuration of its objects and of
// extra, for a new control log.
func LoadConfig(dir string, extra ...Object) (Config, error) {
	loaded, faults := ReadFolder(dir)
	if len(faults) > 0 {
		return Config{}, LoadErrors(faults)
	}
	change := Change{Puts: Puts(loaded)}
	for _, object := range extra {
		change.Puts = append(change.Puts, Envelope{object})
	}
	config, err := Config{}.With(change)
	if err != nil {
		return Config{}, Locate(err, loaded)
	}
	return config, nil
}
