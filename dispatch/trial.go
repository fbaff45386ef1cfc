// This file defines trials: requests that run in this region although another one seems
// faster, so that the estimates of this region's engines are corrected.

package dispatch

import "time"

// Only answers correct the estimates of a service's throughput. If some answers were late
// for a reason that has passed, all requests go to other regions, no answer comes, and the
// estimates stay. So a request is sent on trial if nothing but a slower throughput keeps it
// away from here.
const (
	// minTrialInterval is how long a service's estimates may go without an answer before a
	// trial, and the interval until the second trial.
	minTrialInterval = time.Second
	// maxTrialInterval bounds the interval, which doubles with each trial: where the
	// engines are really slower, the caller of each trial waits longer.
	maxTrialInterval = 6 * time.Second
)

// trials is the state of a service's trials since a request was last expected to be
// answered fastest in this region. The zero value has made none.
type trials struct {
	interval time.Duration // until the next trial, from the latest
	latest   time.Time
}

// due reports whether the next trial may begin.
func (t trials) due(now time.Time) bool { return now.Sub(t.latest) >= t.interval }

// next returns the state after a trial that begins now.
func (t trials) next(now time.Time) trials {
	return trials{interval: min(max(2*t.interval, minTrialInterval), maxTrialInterval), latest: now}
}

// beginTrial begins a trial at an engine of this region, if one is due and the request
// would be cheaper here than at best if these engines were as fast as those there. It lets
// the estimates so far count little. The lock is held.
func (d *Dispatcher) beginTrial(p *pool, e *engine, req Request, best Placement, now time.Time) bool {
	s := p.throughput
	remote := d.remotes[best.Region].digests[p.service.Name].Throughput
	if s.answers == 0 || now.Sub(s.answeredAt) < minTrialInterval || !s.trials.due(now) || remote.SlotTime <= 0 {
		return false
	}
	in := p.costInputs(e, req, now)
	in.throughput = remote
	if expected := estimate(in, req, 0); expected.late || expected.cost >= best.Cost {
		return false
	}
	s.trials = s.trials.next(now)
	s.discount()
	return true
}

// discount lets the answers so far count little beside the next one.
func (s *throughputEstimator) discount() {
	s.firstEvent.Discount()
	s.outputPerToken.Discount()
	s.slotTime.Discount()
}
