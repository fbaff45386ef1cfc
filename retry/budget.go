// Package retry limits the load that retries add.
//
// A Budget is a token bucket: each first attempt adds a fraction of a token and
// each retry spends a whole one. Even if all engines fail, they get at most that
// fraction more requests, plus the burst. The attempt count and the deadline of a
// request are forwarded with it between entry hosts; a budget is local to a host.
//
// A WindowBudget limits retries in a sliding time window, over all hosts together.
package retry

import "sync"

// Parameters of a Budget.
const (
	DefaultShare = 0.1 // tokens added by each first attempt
	DefaultBurst = 10  // maximum number of tokens
)

// MaxAttempts is the maximum number of times that a request is sent to engines.
const MaxAttempts = 3

// Budget limits the retries of one host. It is safe for concurrent use. The zero
// value has no tokens.
type Budget struct {
	mu            sync.Mutex
	tokens        float64 // retries available
	firstAttempts uint64
	retries       uint64
	denied        uint64
}

// NewBudget returns a budget with DefaultBurst tokens.
func NewBudget() *Budget { return &Budget{tokens: DefaultBurst} }

// CountFirstAttempt counts a first attempt and adds its share of a token.
func (b *Budget) CountFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstAttempts++
	b.tokens = min(b.tokens+DefaultShare, DefaultBurst)
}

// TryRetry spends a token for a retry. It returns false if there is none.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	b.retries++
	return true
}

// Counts returns the number of first attempts, of retries and of denied retries
// so far.
func (b *Budget) Counts() (first, retries, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.firstAttempts, b.retries, b.denied
}
