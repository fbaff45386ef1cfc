// This file defines the cost estimate for a request at an engine, a pure function of its
// inputs.

package dispatch

import (
	"fmt"
	"time"

	"github.com/linenscale/linenscale/returns"
	"github.com/linenscale/linenscale/urgency"
)

// Load is the work of an engine. Loads of several gateways add up.
type Load struct {
	Requests int     // in flight
	Unread   int     // prompt tokens of requests without a first event yet
	Reserved int     // cache tokens of prompts and of their expected output
	ReadRate float64 // prompt tokens per second, recently
}

// plus adds two gateways' loads.
func (l Load) plus(o Load) Load {
	return Load{l.Requests + o.Requests, l.Unread + o.Unread, l.Reserved + o.Reserved, l.ReadRate + o.ReadRate}
}

// Weights and penalties of the cost estimate.
const (
	// interferenceWeight weighs the delay that reading a prompt causes to each stream of
	// the engine against the delay of the request itself. Streams tolerate short pauses.
	interferenceWeight = 0.15
	// slowdownWeight weighs the longer duration of a stream, caused by prompts read at
	// the same time, against the wait for its first event.
	slowdownWeight = 0.06
	// cacheFillLimit is the share of an engine's cache above which requests are sent
	// elsewhere. It is below 1 because the estimates are not exact.
	cacheFillLimit = 0.85
	// overflowPenalty is the cost of a request that exceeds cacheFillLimit by the size of
	// the whole cache, in addition to a fifth of it for any excess.
	overflowPenalty = 3 * time.Second
	// failurePenalty is the cost of a failed request: its caller usually retries after
	// some seconds, with less time left.
	failurePenalty = 3 * time.Second
	// rereadWeight is the additional cost, relative to the read time, of reading shared
	// blocks that another engine has cached: no other request can use that engine time.
	rereadWeight = 3.6
	// latePenalty is the cost of a choice with which the request would start or end too late
	// to be admitted. Any other choice is better.
	latePenalty = 5 * time.Second
	// assumedCachedShare is the share of the shared blocks that the engine ranked first
	// is assumed to have cached, where this gateway doesn't know any cache holder.
	assumedCachedShare = 0.95
)

// costInputs is what this gateway knows about one engine, or about the engines of another
// region, when a request arrives.
type costInputs struct {
	load         Load
	slots        int
	cacheTokens  int           // cache size in tokens; 0 for an engine without a model
	cached       int           // tokens of the prompt probably cached
	failureRate  float64       // share of recent requests that failed beyond the baseline
	throughput   Throughput    // of the service's engines
	usualError   time.Duration // mean error of the time estimates
	speed        float64       // relative to the service's mean; 0 if not known
	preferred    bool          // ranked first for the prompt's shared blocks
	transferable int           // further tokens of the prompt that the engine could transfer
	transferTime time.Duration // how long that transfer takes
	limit        urgency.Limit // of the queue, for what is more urgent than the request
	promised     bool          // the request returns as it was promised
	tokenTime    time.Duration // of its streams lately; 0 if not known
	longShare    float64       // of its time that it reads long prompts; 0 unless it is set apart and this one isn't long
	eventTokens  int           // tokens of one event of a stream; 0 if not known
	maxPause     time.Duration // shortest limit for pauses of the service's routes; 0 for none
	remaining    time.Duration // until the request's deadline; 0 if it has none
}

// score is the cost estimate for one engine. The engine with the lowest score is chosen.
type score struct {
	queue        time.Duration // until the engine starts the request
	wait         time.Duration // until the answer begins
	cost         time.Duration // wait plus all penalties
	cached       int
	known        int     // part of cached that isn't assumed
	transferred  int     // part of cached that the engine transfers first
	source       *engine // where it transfers them from
	preferred    bool
	load         Load
	speed        float64       // of the engine; 0 if not known
	tokenTime    time.Duration // likewise
	rank         uint64
	unresponsive bool // missed its heartbeats: chosen only if no other engine can be

	accepted time.Duration // longest queue that the request accepts itself
	risks    streamRisks
	maxQueue time.Duration // longest queue with which the request is admitted
	after    int           // priority that the request goes after; it counts if maxQueue is below accepted
	late     bool          // queue exceeds maxQueue
}

// isPutAfter reports whether the request would be admitted if nothing more urgent were asked for.
func (s score) isPutAfter() bool { return s.late && s.queue <= s.accepted }

func (s score) less(o score) bool {
	if s.unresponsive != o.unresponsive {
		return !s.unresponsive
	}
	if s.cost != o.cost {
		return s.cost < o.cost
	}
	return s.rank > o.rank
}

// String formats the score for the log. Some labels differ from the field names: kept is
// cached, copied is transferred, first is preferred, held is load.Reserved, and silent is
// unresponsive.
func (s score) String() string {
	return fmt.Sprintf("wait=%v cost=%v kept=%d copied=%d first=%t requests=%d unread=%d held=%d silent=%t speed=%.2f token=%v ends_late=%.2f interrupts=%.2f delayed=%.2f apart=%t",
		s.wait.Round(time.Millisecond), s.cost.Round(time.Millisecond), s.cached, s.transferred, s.preferred, s.load.Requests, s.load.Unread, s.load.Reserved, s.unresponsive, s.speed, s.tokenTime.Round(10*time.Microsecond),
		s.risks.endsLate, s.risks.interrupts, s.risks.delayed, s.risks.apart)
}

// readTime returns the time to read so many prompt tokens.
func (t Throughput) readTime(tokens int) time.Duration {
	return time.Duration(tokens) * t.ReadPerToken
}

// estimate returns the expected queue, wait and cost of a request. roundTrip is the
// network round trip to the engine's region, 0 for this one.
func estimate(in costInputs, req Request, roundTrip time.Duration) score {
	p := req.Prompt
	s := score{cached: in.cached, known: in.cached, preferred: in.preferred, load: in.load, speed: in.speed, tokenTime: in.tokenTime}
	s.queue = in.queueTime()
	if in.cacheTokens == 0 {
		s.wait = s.queue + in.throughput.SlotTime
		occupancyCost := time.Duration(float64(in.load.Requests) / float64(max(1, in.slots)) * float64(in.throughput.SlotTime))
		s.cost = s.wait + occupancyCost
	} else {
		s.cached = max(s.cached, in.assumedCached(p))
		s.wait, s.cost = in.readCost(p, s.cached)
		if in.transferable > 0 {
			wait, cost := in.readCost(p, s.cached+in.transferable)
			wait += in.transferTime
			cost += in.transferTime + time.Duration(transferCostShare*float64(in.throughput.readTime(in.transferable)))
			if cost < s.cost {
				s.wait, s.cost, s.transferred = wait, cost, in.transferable
				s.cached += in.transferable
			}
		}
		s.wait += s.queue
		s.cost += s.queue + in.slowdownCost(p) + in.overflowCost(p)
	}
	if in.speed > 0 && in.speed != 1 {
		s.queue = time.Duration(float64(s.queue) / in.speed)
		s.wait = time.Duration(float64(s.wait) / in.speed)
		s.cost = time.Duration(float64(s.cost) / in.speed)
	}
	s.wait += roundTrip
	s.cost += roundTrip + time.Duration(in.failureRate*float64(failurePenalty))
	s.accepted = req.maxQueueTime(s.wait-s.queue, in.usualError)
	s.maxQueue, s.after = in.limit.For(s.accepted, req.yields()), in.limit.After
	if in.promised {
		// An answer that is expected to begin too late is no kept promise.
		inTime := max(s.accepted, req.Target-(s.wait-s.queue))
		s.accepted, s.maxQueue = min(returns.Queue(s.accepted), inTime), min(returns.Queue(s.maxQueue), inTime)
	}
	if in.cacheTokens > 0 {
		s.risks = in.streamRisks(p, s.wait, max(0, p.InputTokens-s.cached))
		s.cost += s.risks.cost()
	}
	s.late = req.Target > 0 && s.queue > s.maxQueue
	switch {
	case s.isPutAfter() && !s.risks.hopeless:
		// The caller would return later, at an engine that probably doesn't suit better.
		s.cost += s.queue - s.maxQueue + noEngineRetryAfter
	case s.late, s.risks.hopeless:
		s.cost += latePenalty
	}
	return s
}

// queueTime returns how long an engine of the service's mean speed needs before it starts a
// request.
func (in costInputs) queueTime() time.Duration {
	queuedPerSlot := float64(in.load.Requests+1-in.slots) / float64(max(1, in.slots))
	queue := time.Duration(max(0, queuedPerSlot) * float64(in.throughput.SlotTime))
	if in.cacheTokens > 0 {
		queue += in.throughput.readTime(in.load.Unread)
	}
	return queue
}

// readCost returns the time until an engine that has cached so many tokens of the prompt
// has read the rest, and the cost of that.
func (in costInputs) readCost(p Prompt, cached int) (wait, cost time.Duration) {
	unread := max(0, p.InputTokens-cached)
	wait = in.throughput.Overhead + in.throughput.readTime(unread)
	return wait, wait + in.rereadCost(p, cached) + in.interferenceCost(unread)
}

// rereadCost is the additional cost of reading shared blocks that another engine has
// cached.
func (in costInputs) rereadCost(p Prompt, cached int) time.Duration {
	return time.Duration(rereadWeight * float64(in.throughput.readTime(max(0, p.sharedTokens()-cached))))
}

// assumedCached returns the tokens that the engine has probably cached through other
// gateways' requests.
func (in costInputs) assumedCached(p Prompt) int {
	if !in.preferred {
		return 0
	}
	return int(assumedCachedShare * float64(p.sharedTokens()))
}

// interferenceCost is the delay that reading the prompt causes to the engine's streams.
func (in costInputs) interferenceCost(unread int) time.Duration {
	return time.Duration(interferenceWeight * float64(in.load.Requests) * float64(in.throughput.readTime(unread)))
}

// slowdownCost is the longer duration of the request's stream, caused by other prompts.
func (in costInputs) slowdownCost(p Prompt) time.Duration {
	readShare := min(in.load.ReadRate*in.throughput.ReadPerToken.Seconds(), maxReadShare)
	return time.Duration(slowdownWeight * float64(p.OutputTokens) * float64(in.throughput.OutputPerToken) * readShare / (1 - readShare))
}

// maxReadShare bounds the share of its time that an engine is assumed to spend on reading
// prompts, in the estimate of the slowdown of streams.
const maxReadShare = 0.9

// overflowCost is the cost of a request that doesn't fit into the engine's cache.
func (in costInputs) overflowCost(p Prompt) time.Duration {
	excess := float64(in.load.Reserved+p.InputTokens+p.OutputTokens) - cacheFillLimit*float64(in.cacheTokens)
	if excess <= 0 {
		return 0
	}
	return time.Duration((0.2 + excess/float64(in.cacheTokens)) * float64(overflowPenalty))
}
