// This file defines which requests are admitted, and when those that aren't should
// come back.

package dispatch

import (
	"fmt"
	"time"

	"github.com/linenscale/linenscale/request"
)

// An overload lasts longer than any queue should. Every request that is admitted
// behind a queue which is as long as the target comes late, and so do all that are
// admitted after it until the queue is shorter again, while the engines answer no more
// of them for it. So a request is admitted where its answer is expected to begin in
// time, and what is over is refused at once.
const (
	// minQueueShare is the share of its target that a request may wait in any case
	// until it is begun: one that is late by its own reading, or by the trip to the
	// only region where it may run, is served where little waits.
	minQueueShare = 0.3
	// maxQueueShare is the share that it may wait at most. A queue that several kinds wait in
	// stands at what the most patient accepts, and the others are refused: with a bound,
	// short prompts can't shut long ones out.
	maxQueueShare = 0.6
	// errorMargin is how many times the usual error of expectations is kept free before the
	// target: in a long burst fewer answers are late with more, and in short trouble refusing
	// early gains nothing.
	errorMargin = 2
	// noEngineRetryAfter is when to come back where no engine can be used: engines are
	// replaced within a second or two.
	noEngineRetryAfter = 400 * time.Millisecond
)

// maxQueueTime gives the longest wait until it is begun that a request is admitted for.
// after is the time from then until its answer begins, doubt by how much expectations
// are usually off.
func (r Ask) maxQueueTime(afterStart, usualError time.Duration) time.Duration {
	low := time.Duration(minQueueShare * float64(r.Target))
	high := time.Duration(maxQueueShare * float64(r.Target))
	return max(low, min(high, r.Target-afterStart-errorMargin*usualError))
}

// checkAdmission gives the refusal of a request that would come too late, or nil.
func (r Ask) checkAdmission(s score) error {
	if !s.late {
		return nil
	}
	message := fmt.Sprintf("it is expected to be begun after %v, and %v is the most", s.queue.Round(time.Millisecond), s.maxQueue.Round(time.Millisecond))
	return &request.NotRun{Reason: request.ReasonOverload, Message: message, RetryAfter: max(noEngineRetryAfter, s.queue-s.maxQueue/2)}
}
