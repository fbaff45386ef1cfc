package telemetry

import "sync"

// maxLabels bounds the client accounts, and the engines, that have counters of their own.
// Each takes some 400 bytes per outcome, and hosts have little memory.
const maxLabels = 256

// otherLabel is the label of all names beyond the bound.
const otherLabel = "other"

// labelSet bounds the number of values of a metric's label. The zero value is empty. It is
// safe for concurrent use.
type labelSet struct {
	mu    sync.Mutex
	names map[string]bool
}

// label returns the label for a name: the name itself for the first maxLabels names,
// otherLabel for all others.
func (l *labelSet) label(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.names[name] {
		return name
	}
	if len(l.names) >= maxLabels {
		return otherLabel
	}
	if l.names == nil {
		l.names = make(map[string]bool)
	}
	l.names[name] = true
	return name
}
