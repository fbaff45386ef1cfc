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
	Held     int     // tokens in memory, of prompts and of what they may grow to
	Reading  float64 // prompt tokens a second, lately
}

// plus adds two gateways' loads.
func (l Load) plus(o Load) Load {
	return Load{l.Requests + o.Requests, l.Unread + o.Unread, l.Held + o.Held, l.Reading + o.Reading}
}

// Weights of the expectation.
const (
	// harmShare weighs the delay that reading a prompt causes to each stream
	// that runs there against the delay of the request itself. Streams bear
	// pauses, up to a point.
	harmShare = 0.15
	// slowShare weighs the time that a stream takes longer, because prompts
	// are read beside it, against the wait for its first event.
	slowShare = 0.06
	// roomShare is how full an engine's memory may get before requests are
	// put back there: what is expected is not exact.
	roomShare = 0.85
	// fullTime is what a full memory costs, for each time over.
	fullTime = 3 * time.Second
	// failTime is what a failed request costs: its caller has to come back, after
	// some seconds as a rule, with what is left of its time.
	failTime = 3 * time.Second
	// againShare is what it costs, beside the reading itself, to read a shared part
	// that another engine keeps, as a share of its reading: the time of the engine is
	// lost to all others.
	againShare = 3.6
	// lateTime is what a choice costs by which the request would be begun too late
	// to be admitted: any other is better.
	lateTime = 5 * time.Second
	// guessKept is the share of the shared parts that the engine ranked first
	// is believed to keep, where this gateway hasn't sent them anywhere.
	guessKept = 0.95
)

// knowledge is what is known of one engine when a request comes.
type knowledge struct {
	load    Load
	slots   int
	room    int           // tokens of memory; 0 for an engine without model
	kept    int           // tokens of the prompt believed kept
	failing float64       // share of requests that failed lately, beyond the usual
	speed   Speed         // of the service's engines
	doubt   time.Duration // by how much expectations are usually off
	slow    float64       // times longer than its peers; 0 where not known
	first   bool          // ranked first for the prompt's shared parts
	copies  int           // tokens of the prompt beside those that another engine has to copy
	copying time.Duration // how long that takes
}

// score is the expectation for one engine; the lowest is chosen.
type score struct {
	queue   time.Duration // until the request is begun
	wait    time.Duration // until the answer begins
	cost    time.Duration // wait, and what the choice costs otherwise
	kept    int
	copied  int     // of those, tokens that the engine copies
	source  *engine // from which
	first   bool
	load    Load
	rank    uint64
	silence bool // not heard lately: used only where nothing else can be

	patience time.Duration // the longest queue for which the request is admitted
	late     bool          // the queue is longer
}

func (s score) less(o score) bool {
	if s.silence != o.silence {
		return !s.silence
	}
	if s.cost != o.cost {
		return s.cost < o.cost
	}
	return s.rank > o.rank
}

// String is what the log shows.
func (s score) String() string {
	return fmt.Sprintf("wait=%v cost=%v kept=%d copied=%d first=%t requests=%d unread=%d held=%d silent=%t",
		s.wait.Round(time.Millisecond), s.cost.Round(time.Millisecond), s.kept, s.copied, s.first, s.load.Requests, s.load.Unread, s.load.Held, s.silence)
}

// reading gives how long an engine reads so many tokens.
func (v Speed) reading(tokens int) time.Duration {
	return time.Duration(tokens) * v.Token
}

// expect gives the expectation for a request. trip is the time that it takes
// beside to get there and back.
func expect(k knowledge, ask Ask, trip time.Duration) score {
	p := ask.Prompt
	s := score{kept: k.kept, first: k.first, load: k.load}
	over := float64(k.load.Requests+1-k.slots) / float64(max(1, k.slots))
	s.queue = time.Duration(max(0, over) * float64(k.speed.Hold))
	if k.room == 0 {
		s.wait = s.queue + k.speed.Hold
		crowd := time.Duration(float64(k.load.Requests) / float64(max(1, k.slots)) * float64(k.speed.Hold))
		s.cost = s.wait + crowd
	} else {
		s.kept = max(s.kept, k.guess(p))
		s.queue += k.speed.reading(k.load.Unread)
		s.wait, s.cost = k.reads(p, s.kept)
		if k.copies > 0 {
			wait, cost := k.reads(p, s.kept+k.copies)
			wait += k.copying
			cost += k.copying + time.Duration(copyShare*float64(k.speed.reading(k.copies)))
			if cost < s.cost {
				s.wait, s.cost, s.copied = wait, cost, k.copies
				s.kept += k.copies
			}
		}
		s.wait += s.queue
		s.cost += s.queue + k.slowness(p) + k.fullness(p)
	}
	if k.slow > 1 {
		s.queue = time.Duration(float64(s.queue) * k.slow)
		s.wait = time.Duration(float64(s.wait) * k.slow)
		s.cost = time.Duration(float64(s.cost) * k.slow)
	}
	s.wait += trip
	s.cost += trip + time.Duration(k.failing*float64(failTime))
	s.patience = ask.patience(s.wait-s.queue, k.doubt)
	if s.late = ask.Target > 0 && s.queue > s.patience; s.late {
		s.cost += lateTime
	}
	return s
}

// reads gives the time until an engine that keeps so much of a prompt has read the rest,
// and what that costs.
func (k knowledge) reads(p Prompt, kept int) (wait, cost time.Duration) {
	unread := max(0, p.TokensIn-kept)
	wait = k.speed.Fixed + k.speed.reading(unread)
	return wait, wait + k.again(p, kept) + k.harm(unread)
}

// again is what it costs to read shared parts that are kept elsewhere.
func (k knowledge) again(p Prompt, kept int) time.Duration {
	return time.Duration(againShare * float64(k.speed.reading(max(0, p.sharedTokens()-kept))))
}

// guess gives the tokens that the engine may keep by other gateways' requests.
func (k knowledge) guess(p Prompt) int {
	if !k.first {
		return 0
	}
	return int(guessKept * float64(p.sharedTokens()))
}

// harm is what the reading of the prompt costs the streams that run there.
func (k knowledge) harm(unread int) time.Duration {
	return time.Duration(harmShare * float64(k.load.Requests) * float64(k.speed.reading(unread)))
}

// slowness is how much longer the stream takes because of other prompts.
func (k knowledge) slowness(p Prompt) time.Duration {
	busy := min(k.load.Reading*k.speed.Token.Seconds(), maxBusy)
	return time.Duration(slowShare * float64(p.TokensOut) * float64(k.speed.Out) * busy / (1 - busy))
}

// maxBusy bounds the share of its time that an engine reads prompts, in the
// estimate of what that does to streams.
const maxBusy = 0.9

// fullness is what it costs if the memory doesn't hold the request.
func (k knowledge) fullness(p Prompt) time.Duration {
	over := float64(k.load.Held+p.TokensIn+p.TokensOut) - roomShare*float64(k.room)
	if over <= 0 {
		return 0
	}
	return time.Duration((0.2 + over/float64(k.room)) * float64(fullTime))
}
