package leader

import (
	"sync"

	"github.com/linenscale/linenscale/control"
	"github.com/linenscale/linenscale/replica"
)

// machine lets RPC goroutines read the state that the replica's goroutine
// writes, and wait for it to change.
type machine struct {
	mu      sync.Mutex
	state   *control.State
	changed chan struct{} // closed and replaced at each change
}

var _ replica.Machine = (*machine)(nil)

func newMachine() *machine {
	return &machine{state: control.NewState(), changed: make(chan struct{})}
}

// Apply implements replica.Machine.
func (m *machine) Apply(index uint64, data []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.state.View().Seq
	result := m.state.Apply(index, data)
	if m.state.View().Seq != before {
		m.wake()
	}
	return result
}

// Snapshot implements replica.Machine.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Snapshot()
}

// Restore implements replica.Machine.
func (m *machine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.wake()
	return m.state.Restore(data)
}

func (m *machine) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// view gives the present view, and a channel that is closed when it changes.
func (m *machine) view() (control.View, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.View(), m.changed
}

// read runs do with the state, which do must not keep.
func (m *machine) read(do func(*control.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	do(m.state)
}
