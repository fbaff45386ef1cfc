// Package disk is the small part of a file system that durable state needs.
//
// A file's bytes last once Sync has returned, and a file's name lasts once the
// folder has been synced; nothing else is promised. Memory keeps those rules
// in a fake that can lose whatever was not synced.
package disk

import (
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/juju/errors"
)

// File is an open file, written at its end.
type File interface {
	io.Writer
	// Sync returns once all that was written is durable.
	Sync() error
	Close() error
}

// Folder is one folder without subfolders.
type Folder interface {
	// Create makes or empties a file.
	Create(name string) (File, error)
	// Append opens a file to write at its end.
	Append(name string) (File, error)
	Read(name string) ([]byte, error)
	// Names lists the files in order.
	Names() ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// Truncate cuts a file to a size in bytes and makes that durable.
	Truncate(name string, size int64) error
	// Sync makes the names durable: files made, renamed and removed.
	Sync() error
}

// Dir is a Folder on the machine's file system. OpenDir makes one.
type Dir struct {
	path string
}

var _ Folder = Dir{}

// OpenDir makes the folder if it is missing, durably.
func OpenDir(path string) (Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return Dir{}, errors.Annotate(err, "data folder")
	}
	if err := syncFolder(filepath.Dir(path)); err != nil {
		return Dir{}, errors.Annotate(err, "data folder")
	}
	return Dir{path}, nil
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return errors.Trace(err)
	}
	defer folder.Close()
	return errors.Trace(folder.Sync())
}

func (d Dir) at(name string) string { return filepath.Join(d.path, name) }

// Create implements Folder.
func (d Dir) Create(name string) (File, error) {
	file, err := os.OpenFile(d.at(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return file, nil
}

// Append implements Folder.
func (d Dir) Append(name string) (File, error) {
	file, err := os.OpenFile(d.at(name), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return file, nil
}

// Read implements Folder.
func (d Dir) Read(name string) ([]byte, error) {
	data, err := os.ReadFile(d.at(name))
	return data, errors.Trace(err)
}

// Names implements Folder.
func (d Dir) Names() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// Rename implements Folder.
func (d Dir) Rename(from, to string) error {
	return errors.Trace(os.Rename(d.at(from), d.at(to)))
}

// Remove implements Folder.
func (d Dir) Remove(name string) error { return errors.Trace(os.Remove(d.at(name))) }

// Truncate implements Folder.
func (d Dir) Truncate(name string, size int64) error {
	file, err := os.OpenFile(d.at(name), os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	if err := file.Truncate(size); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(file.Sync())
}

// Sync implements Folder.
func (d Dir) Sync() error { return syncFolder(d.path) }
