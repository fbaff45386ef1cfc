package disk

import (
	"os"
	"slices"
	"sort"
	"sync"

	"github.com/juju/errors"
)

// Memory is a Folder in memory for tests, and for hosts without a disk. Crash
// loses what was not synced. NewMemory makes one.
type Memory struct {
	mu    sync.Mutex
	names map[string]*content // as seen now
	saved map[string]*content // as the last folder sync left them
	full  bool
}

type content struct {
	data   []byte
	synced int // bytes that a crash keeps
}

var _ Folder = (*Memory)(nil)

// NewMemory makes an empty folder.
func NewMemory() *Memory {
	return &Memory{names: map[string]*content{}, saved: map[string]*content{}}
}

// Crash loses all that was not synced. torn is how many of the unsynced bytes
// of each file are kept all the same, as a disk may do.
func (m *Memory) Crash(torn int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names = map[string]*content{}
	for name, c := range m.saved {
		keep := min(len(c.data), c.synced+torn)
		lost := &content{data: slices.Clone(c.data[:keep]), synced: keep}
		m.names[name], m.saved[name] = lost, lost
	}
}

// ErrFull is the failure of a write to a full folder.
var ErrFull = errors.New("no space is left")

// SetFull makes every write take only half of its bytes and then fail, as on a
// disk that is full, or ends that.
func (m *Memory) SetFull(full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.full = full
}

// Lose empties the folder, as when a disk is replaced.
func (m *Memory) Lose() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names, m.saved = map[string]*content{}, map[string]*content{}
}

// Create implements Folder.
func (m *Memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &content{}
	m.names[name] = c
	return &memoryFile{m, c}, nil
}

// Append implements Folder.
func (m *Memory) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, err := m.get(name)
	if err != nil {
		return nil, err
	}
	return &memoryFile{m, c}, nil
}

func (m *Memory) get(name string) (*content, error) {
	c, ok := m.names[name]
	if !ok {
		return nil, errors.Annotatef(os.ErrNotExist, "file %q", name)
	}
	return c, nil
}

// Read implements Folder.
func (m *Memory) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, err := m.get(name)
	if err != nil {
		return nil, err
	}
	return slices.Clone(c.data), nil
}

// Names implements Folder.
func (m *Memory) Names() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.names))
	for name := range m.names {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

// Rename implements Folder.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, err := m.get(from)
	if err != nil {
		return err
	}
	delete(m.names, from)
	m.names[to] = c
	return nil
}

// Remove implements Folder.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.get(name); err != nil {
		return err
	}
	delete(m.names, name)
	return nil
}

// Truncate implements Folder.
func (m *Memory) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, err := m.get(name)
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
	m.saved = make(map[string]*content, len(m.names))
	for name, c := range m.names {
		m.saved[name] = c
	}
	return nil
}

type memoryFile struct {
	folder *Memory
	c      *content
}

func (f *memoryFile) Write(data []byte) (int, error) {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if f.folder.full {
		half := len(data) / 2
		f.c.data = append(f.c.data, data[:half]...)
		return half, ErrFull
	}
	f.c.data = append(f.c.data, data...)
	return len(data), nil
}

func (f *memoryFile) Sync() error {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	f.c.synced = len(f.c.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }
