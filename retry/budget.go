// Package retry bounds how much retries may add to the load.
//
// A Budget earns a fraction of a retry with each first attempt and spends one
// with each retry, so that however many engines fail, the engines get at most
// that fraction more calls. The number of attempts and the deadline of a
// request travel with it between entry hosts; the budget is each host's own.
package retry

import "sync"

// Defaults of a budget.
const (
	DefaultShare = 0.1 // retries earned by each first attempt
	DefaultBurst = 10  // retries that can be saved up
)

// MaxAttempts is how often one request may be sent to engines.
const MaxAttempts = 3

// Budget is safe for concurrent use. New makes one; the zero value is empty.
type Budget struct {
	mu     sync.Mutex
	saved  float64
	first  uint64
	spent  uint64
	denied uint64
}

// New makes a budget with a full burst saved up.
func New() *Budget { return &Budget{saved: DefaultBurst} }

// First notes a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first++
	b.saved = min(b.saved+DefaultShare, DefaultBurst)
}

// Take spends one retry, or tells that there is none.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		b.denied++
		return false
	}
	b.saved--
	b.spent++
	return true
}

// Counts gives first attempts, retries and retries denied so far.
func (b *Budget) Counts() (first, spent, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first, b.spent, b.denied
}
