package leader

import (
	"sync"

	"github.com/linenscale/linenscale/control"
	"github.com/linenscale/linenscale/replica"
)

// machine wraps the control state with a lock, so that RPC goroutines can read the state
// that the replica's goroutine modifies, and wait for the view to change.
type machine struct {
	mu      sync.Mutex
	state   *control.State
	changed chan struct{} // closed and replaced when the view changes
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
		m.notifyChanged()
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
	defer m.notifyChanged()
	return m.state.Restore(data)
}

// notifyChanged wakes the goroutines that wait for a change. The caller holds the lock.
func (m *machine) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// view returns the current view, and a channel that is closed when it changes.
func (m *machine) view() (control.View, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.View(), m.changed
}

// read calls do with the state under the lock. do must not retain the state.
func (m *machine) read(do func(*control.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	do(m.state)
}
