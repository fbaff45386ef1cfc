// This file defines which requests are admitted, and the Retry-After of those that are
// rejected.

package dispatch

import (
	"fmt"
	"time"

	"github.com/linenscale/linenscale/request"
)

// An overload lasts longer than any acceptable queue. A request admitted behind a queue
// as long as its target is late, and so are all later ones until the queue shrinks, while
// the engines complete no more requests because of it. So a request is admitted only if
// its answer is expected to begin in time, and the excess is rejected at once.
const (
	// minQueueShare is the share of its target that a request may queue in any case. It
	// admits requests to lightly loaded engines that are late because of their own
	// prompt, or because of the round trip to the only region where they may run.
	minQueueShare = 0.3
	// maxQueueShare is the largest share of its target that a request may queue. A queue
	// shared by several kinds of requests grows to what the most patient kind accepts,
	// and the others are rejected; the bound keeps short prompts from shutting out long
	// ones.
	maxQueueShare = 0.6
	// errorMargin is how many times the usual estimation error is kept free before the
	// target. In a long burst, a larger margin makes fewer answers late; in a short
	// overload, rejecting early gains nothing.
	errorMargin = 2
	// noEngineRetryAfter is the shortest Retry-After where no engine can be used, or none in
	// time: engines are replaced within a second or two.
	noEngineRetryAfter = 400 * time.Millisecond
)

// maxQueueTime returns the longest queueing time with which the request is admitted.
// afterStart is the time from the end of the queue to the start of the answer, and
// usualError the mean error of the estimates.
func (r Request) maxQueueTime(afterStart, usualError time.Duration) time.Duration {
	low := time.Duration(minQueueShare * float64(r.Target))
	high := time.Duration(maxQueueShare * float64(r.Target))
	return max(low, min(high, r.Target-afterStart-errorMargin*usualError))
}

// isBehindAccounts reports whether the request is put after those of other accounts.
func (r Request) isBehindAccounts(s score) bool { return s.isPutAfter() && s.after >= r.Priority }

// checkAdmission returns a *request.NotRun if the request would start or end too late,
// else nil.
func (r Request) checkAdmission(s score) error {
	if s.risks.hopeless {
		return noTimeError()
	}
	if !s.late {
		return nil
	}
	message := fmt.Sprintf("it is expected to be begun after %v, and %v is the most", s.queue.Round(time.Millisecond), s.maxQueue.Round(time.Millisecond))
	switch {
	case r.isBehindAccounts(s):
		message += ", because accounts below their shares go first"
	case s.isPutAfter():
		message += fmt.Sprintf(", because priority %d goes first", s.after)
	}
	return &request.NotRun{Reason: request.ReasonOverload, Message: message, RetryAfter: max(noEngineRetryAfter, s.queue-s.maxQueue/2)}
}
