package disk

import (
	"os"
	"slices"
	"sort"
	"sync"

	"github.com/juju/errors"
)

// Memory is a Folder in memory, for tests and for hosts without a disk. Crash
// discards everything that was not synced. NewMemory creates one; it is safe for
// concurrent use.
type Memory struct {
	mu      sync.Mutex
	current map[string]*fileContent // files as callers see them
	durable map[string]*fileContent // files as of the last Sync of the folder
	full    bool
}

type fileContent struct {
	data   []byte
	synced int // number of bytes that survive a crash
}

var _ Folder = (*Memory)(nil)

// NewMemory creates an empty folder.
func NewMemory() *Memory {
	return &Memory{current: map[string]*fileContent{}, durable: map[string]*fileContent{}}
}

// Crash discards everything that was not synced, except for the first unsyncedKept
// unsynced bytes of each file: a disk may retain some of them.
func (m *Memory) Crash(unsyncedKept int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = map[string]*fileContent{}
	for name, c := range m.durable {
		kept := min(len(c.data), c.synced+unsyncedKept)
		survivor := &fileContent{data: slices.Clone(c.data[:kept]), synced: kept}
		m.current[name], m.durable[name] = survivor, survivor
	}
}

// ErrFull is the error of a write to a Memory that SetFull has made full.
var ErrFull = errors.New("no space left in the folder")

// SetFull simulates a full disk: while full is true, each write stores only the first
// half of its data and returns ErrFull.
func (m *Memory) SetFull(full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.full = full
}

// RemoveAll removes all files durably, as when the disk is replaced.
func (m *Memory) RemoveAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current, m.durable = map[string]*fileContent{}, map[string]*fileContent{}
}

// Create implements Folder.
func (m *Memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &fileContent{}
	m.current[name] = c
	return &memoryFile{m, c}, nil
}

// Append implements Folder.
func (m *Memory) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, err := m.lookup(name)
	if err != nil {
		return nil, err
	}
	return &memoryFile{m, c}, nil
}

func (m *Memory) lookup(name string) (*fileContent, error) {
	c, ok := m.current[name]
	if !ok {
		return nil, errors.Annotatef(os.ErrNotExist, "file %q", name)
	}
	return c, nil
}

// Read implements Folder.
func (m *Memory) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, err := m.lookup(name)
	if err != nil {
		return nil, err
	}
	return slices.Clone(c.data), nil
}

// Names implements Folder.
func (m *Memory) Names() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.current))
	for name := range m.current {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

// Rename implements Folder.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, err := m.lookup(from)
	if err != nil {
		return err
	}
	delete(m.current, from)
	m.current[to] = c
	return nil
}

// Remove implements Folder.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.lookup(name); err != nil {
		return err
	}
	delete(m.current, name)
	return nil
}

// Truncate implements Folder.
func (m *Memory) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, err := m.lookup(name)
	if err != nil {
		return err
	}
	c.data = c.data[:size]
	c.synced = int(size)
	return nil
}

// Sync implements Folder.
func (m *Memory) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.durable = make(map[string]*fileContent, len(m.current))
	for name, c := range m.current {
		m.durable[name] = c
	}
	return nil
}

type memoryFile struct {
	folder  *Memory
	content *fileContent
}

func (f *memoryFile) Write(data []byte) (int, error) {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if f.folder.full {
		half := len(data) / 2
		f.content.data = append(f.content.data, data[:half]...)
		return half, ErrFull
	}
	f.content.data = append(f.content.data, data...)
	return len(data), nil
}

func (f *memoryFile) Sync() error {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	f.content.synced = len(f.content.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }
