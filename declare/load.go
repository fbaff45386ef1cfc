// This file defines how the declarations of a folder become a change and a configuration.

package declare

import (
	"strings"

	"github.com/juju/errors"
)

// LoadErrors lists the errors found in the files of a folder.
type LoadErrors []error

// Error returns one line per error.
func (e LoadErrors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Envelopes wraps the loaded objects in envelopes, for Change.Puts.
func Envelopes(loaded []LoadedObject) []Envelope {
	puts := make([]Envelope, len(loaded))
	for i, l := range loaded {
		puts[i] = Envelope{l.Object}
	}
	return puts
}

// WithPositions converts a *InvalidError into LoadErrors that begin with the file and line
// of the object at fault, as far as loaded has it. It returns any other error unchanged.
func WithPositions(err error, loaded []LoadedObject) error {
	var faults *InvalidError
	if !errors.As(err, &faults) {
		return err
	}
	positions := make(map[Ref]Position, len(loaded))
	for _, l := range loaded {
		positions[l.Object.Ref()] = l.Position
	}
	var located LoadErrors
	for _, fault := range faults.Faults {
		if position, ok := positions[fault.Ref]; ok {
			located = append(located, &FileError{position, fault.String()})
			continue
		}
		located = append(located, errors.New(fault.String()))
	}
	return located
}

// LoadConfig reads a folder and returns the first configuration of a new control log: the
// objects of the folder and extra, at revision 1.
func LoadConfig(dir string, extra ...Object) (Config, error) {
	loaded, faults := ReadFolder(dir)
	if len(faults) > 0 {
		return Config{}, LoadErrors(faults)
	}
	change := Change{Puts: Envelopes(loaded)}
	for _, object := range extra {
		change.Puts = append(change.Puts, Envelope{object})
	}
	config, err := Config{}.Apply(change)
	if err != nil {
		return Config{}, WithPositions(err, loaded)
	}
	return config, nil
}
