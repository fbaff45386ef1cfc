// Package disk defines the few file system operations that durable state needs.
//
// A file's content is durable once File.Sync has returned. Its name, and a rename or
// removal, is durable once Folder.Sync has returned. Nothing else is guaranteed.
// Dir implements Folder on the file system. Memory is a fake with the same
// guarantees that can lose everything not synced.
package disk

import (
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/juju/errors"
)

// File is a file open for appending.
type File interface {
	io.Writer
	// Sync returns once all written data is durable.
	Sync() error
	Close() error
}

// Folder is a folder of files without subfolders.
type Folder interface {
	// Create creates a file, or truncates an existing one to length 0.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	Read(name string) ([]byte, error)
	// Names returns the names of the files, sorted.
	Names() ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// Truncate shortens a file to size bytes, durably.
	Truncate(name string, size int64) error
	// Sync makes the creation, renaming and removal of files durable.
	Sync() error
}

// Dir is a Folder on the machine's file system. OpenDir returns one.
type Dir struct {
	path string
}

var _ Folder = Dir{}

// OpenDir opens the folder at path. It creates missing folders and syncs the parent,
// so that the folder itself is durable.
func OpenDir(path string) (Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return Dir{}, errors.Annotate(err, "create data folder")
	}
	if err := syncFolder(filepath.Dir(path)); err != nil {
		return Dir{}, errors.Annotate(err, "sync parent of data folder")
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

func (d Dir) pathOf(name string) string { return filepath.Join(d.path, name) }

// Create implements Folder.
func (d Dir) Create(name string) (File, error) {
	file, err := os.OpenFile(d.pathOf(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return file, nil
}

// Append implements Folder.
func (d Dir) Append(name string) (File, error) {
	file, err := os.OpenFile(d.pathOf(name), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return file, nil
}

// Read implements Folder.
func (d Dir) Read(name string) ([]byte, error) {
	data, err := os.ReadFile(d.pathOf(name))
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
	return errors.Trace(os.Rename(d.pathOf(from), d.pathOf(to)))
}

// Remove implements Folder.
func (d Dir) Remove(name string) error { return errors.Trace(os.Remove(d.pathOf(name))) }

// Truncate implements Folder.
func (d Dir) Truncate(name string, size int64) error {
	file, err := os.OpenFile(d.pathOf(name), os.O_WRONLY, 0o600)
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
