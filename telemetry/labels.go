package telemetry

import "sync"

// mostLabels bounds the client accounts, and the engines that name limits, that have counters
// of their own: each takes some 400 bytes for each outcome, and hosts are small.
const mostLabels = 256

// otherLabel stands for those beyond the bound.
const otherLabel = "other"

// labels bounds the values of a label. The zero value has seen none. It is safe for
// concurrent use.
type labels struct {
	mu    sync.Mutex
	names map[string]bool
}

// of gives the label for a name: the name itself, for the first ones that come.
func (l *labels) of(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.names[name] {
		return name
	}
	if len(l.names) >= mostLabels {
		return otherLabel
	}
	if l.names == nil {
		l.names = make(map[string]bool)
	}
	l.names[name] = true
	return name
}
