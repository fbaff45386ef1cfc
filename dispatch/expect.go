// This file defines what is expected of an engine for a request: a pure function
// of what is known.

package dispatch

import (
	"fmt"
	"time"
)

// Load is what requests make an engine do. It adds up over gateways.
type Load struct {
	Requests int     // that have not ended
	Unread   int     // prompt tokens of those that have had no event yet
	Reserved int     // tokens in memory, of prompts and of what they may grow to
	ReadRate float64 // prompt tokens a second, lately
}

// plus adds two gateways' loads.
func (l Load) plus(o Load) Load {
	return Load{l.Requests + o.Requests, l.Unread + o.Unread, l.Reserved + o.Reserved, l.ReadRate + o.ReadRate}
}

// Weights of the expectation.
const (
	// interferenceWeight weighs the delay that reading a prompt causes to each stream
	// that runs there against the delay of the request itself. Streams bear
	// pauses, up to a point.
	interferenceWeight = 0.15
	// slowdownWeight weighs the time that a stream takes longer, because prompts
	// are read beside it, against the wait for its first event.
	slowdownWeight = 0.06
	// cacheFillLimit is how full an engine's memory may get before requests are
	// put back there: what is expected is not exact.
	cacheFillLimit = 0.85
	// overflowPenalty is what a full memory costs, for each time over.
	overflowPenalty = 3 * time.Second
	// failurePenalty is what a failed request costs: its caller has to come back, after
	// some seconds as a rule, with what is left of its time.
	failurePenalty = 3 * time.Second
	// rereadWeight is what it costs, beside the reading itself, to read a shared part
	// that another engine keeps, as a share of its reading: the time of the engine is
	// lost to all others.
	rereadWeight = 3.6
	// latePenalty is what a choice costs by which the request would be begun too late
	// to be admitted: any other is better.
	latePenalty = 5 * time.Second
	// assumedCachedShare is the share of the shared parts that the engine ranked first
	// is believed to keep, where this gateway hasn't sent them anywhere.
	assumedCachedShare = 0.95
)

// costInputs is what is known of one engine when a request comes.
type costInputs struct {
	load         Load
	slots        int
	cacheTokens  int           // tokens of memory; 0 for an engine without model
	cached       int           // tokens of the prompt believed kept
	failureRate  float64       // share of requests that failed lately, beyond the usual
	throughput   Throughput    // of the service's engines
	usualError   time.Duration // by how much expectations are usually off
	slowdown     float64       // times longer than its peers; 0 where not known
	preferred    bool          // ranked first for the prompt's shared parts
	transferable int           // tokens of the prompt beside those that another engine has to copy
	transferTime time.Duration // how long that takes
}

// score is the expectation for one engine; the lowest is chosen.
type score struct {
	queue        time.Duration // until the request is begun
	wait         time.Duration // until the answer begins
	cost         time.Duration // wait, and what the choice costs otherwise
	cached       int
	transferred  int     // of those, tokens that the engine copies
	source       *engine // from which
	preferred    bool
	load         Load
	rank         uint64
	unresponsive bool // not heard lately: used only where nothing else can be

	maxQueue time.Duration // the longest queue for which the request is admitted
	late     bool          // the queue is longer
}

func (s score) less(o score) bool {
	if s.unresponsive != o.unresponsive {
		return !s.unresponsive
	}
	if s.cost != o.cost {
		return s.cost < o.cost
	}
	return s.rank > o.rank
}

// String is what the log shows.
func (s score) String() string {
	return fmt.Sprintf("wait=%v cost=%v kept=%d copied=%d first=%t requests=%d unread=%d held=%d silent=%t",
		s.wait.Round(time.Millisecond), s.cost.Round(time.Millisecond), s.cached, s.transferred, s.preferred, s.load.Requests, s.load.Unread, s.load.Reserved, s.unresponsive)
}

// readTime gives how long an engine reads so many tokens.
func (t Throughput) readTime(tokens int) time.Duration {
	return time.Duration(tokens) * t.ReadPerToken
}

// estimate gives the expectation for a request. trip is the time that it takes
// beside to get there and back.
func estimate(in costInputs, req Ask, roundTrip time.Duration) score {
	p := req.Prompt
	s := score{cached: in.cached, preferred: in.preferred, load: in.load}
	overload := float64(in.load.Requests+1-in.slots) / float64(max(1, in.slots))
	s.queue = time.Duration(max(0, overload) * float64(in.throughput.SlotTime))
	if in.cacheTokens == 0 {
		s.wait = s.queue + in.throughput.SlotTime
		sharing := time.Duration(float64(in.load.Requests) / float64(max(1, in.slots)) * float64(in.throughput.SlotTime))
		s.cost = s.wait + sharing
	} else {
		s.cached = max(s.cached, in.assumedCached(p))
		s.queue += in.throughput.readTime(in.load.Unread)
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
	if in.slowdown > 1 {
		s.queue = time.Duration(float64(s.queue) * in.slowdown)
		s.wait = time.Duration(float64(s.wait) * in.slowdown)
		s.cost = time.Duration(float64(s.cost) * in.slowdown)
	}
	s.wait += roundTrip
	s.cost += roundTrip + time.Duration(in.failureRate*float64(failurePenalty))
	s.maxQueue = req.maxQueueTime(s.wait-s.queue, in.usualError)
	if s.late = req.Target > 0 && s.queue > s.maxQueue; s.late {
		s.cost += latePenalty
	}
	return s
}

// readCost gives the time until an engine that keeps so much of a prompt has read the rest,
// and what that costs.
func (in costInputs) readCost(p Prompt, cached int) (wait, cost time.Duration) {
	unread := max(0, p.TokensIn-cached)
	wait = in.throughput.Overhead + in.throughput.readTime(unread)
	return wait, wait + in.rereadCost(p, cached) + in.interferenceCost(unread)
}

// rereadCost is what it costs to read shared parts that are kept elsewhere.
func (in costInputs) rereadCost(p Prompt, cached int) time.Duration {
	return time.Duration(rereadWeight * float64(in.throughput.readTime(max(0, p.sharedTokens()-cached))))
}

// assumedCached gives the tokens that the engine may keep by other gateways' requests.
func (in costInputs) assumedCached(p Prompt) int {
	if !in.preferred {
		return 0
	}
	return int(assumedCachedShare * float64(p.sharedTokens()))
}

// interferenceCost is what the reading of the prompt costs the streams that run there.
func (in costInputs) interferenceCost(unread int) time.Duration {
	return time.Duration(interferenceWeight * float64(in.load.Requests) * float64(in.throughput.readTime(unread)))
}

// slowdownCost is how much longer the stream takes because of other prompts.
func (in costInputs) slowdownCost(p Prompt) time.Duration {
	readShare := min(in.load.ReadRate*in.throughput.ReadPerToken.Seconds(), maxReadShare)
	return time.Duration(slowdownWeight * float64(p.TokensOut) * float64(in.throughput.OutputPerToken) * readShare / (1 - readShare))
}

// maxReadShare bounds the share of its time that an engine reads prompts, in the
// estimate of what that does to streams.
const maxReadShare = 0.9

// overflowCost is what it costs if the memory doesn't hold the request.
func (in costInputs) overflowCost(p Prompt) time.Duration {
	excess := float64(in.load.Reserved+p.TokensIn+p.TokensOut) - cacheFillLimit*float64(in.cacheTokens)
	if excess <= 0 {
		return 0
	}
	return time.Duration((0.2 + excess/float64(in.cacheTokens)) * float64(overflowPenalty))
}
