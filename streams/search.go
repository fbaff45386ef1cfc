// This file defines one search for a stream's origin.

package streams

import (
	"sync"

	"github.com/linenscale/linenscale/roster"
)

// search collects the answers to one question.
type search struct {
	result chan Finding // gets the finding once

	mu      sync.Mutex
	waiting map[string]string // addresses of the gateways that haven't answered, by name
	done    bool
}

func newSearch(asked []roster.Host) *search {
	s := &search{result: make(chan Finding, 1), waiting: make(map[string]string, len(asked))}
	for _, h := range asked {
		s.waiting[h.Name] = h.Peer
	}
	return s
}

// unanswered returns the addresses of the gateways that haven't answered.
func (s *search) unanswered() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, 0, len(s.waiting))
	for _, address := range s.waiting {
		out = append(out, address)
	}
	return out
}

// apply applies an answer. The first gateway that has a record ends the search.
func (s *search) apply(a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return
	}
	delete(s.waiting, a.From)
	switch {
	case a.Contested:
		s.done = true
		s.result <- Contested{}
	case a.Known:
		s.done = true
		s.result <- Found{Origin{a.Service, a.Version}}
	case len(s.waiting) == 0:
		s.done = true
		s.result <- NotFound{}
	}
}
