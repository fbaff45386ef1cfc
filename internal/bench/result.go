package bench

import (
	"sort"
	"time"
)

// Result is what one run showed.
type Result struct {
	Requests    int
	Answered    int
	InTime      int // answered by the deadline
	Rejected    int
	Failed      int
	Calls       int // to engines
	Goodput     float64
	QuickP50    time.Duration // to the first token, of quick questions
	QuickP99    time.Duration
	LongP50     time.Duration
	LongP99     time.Duration
	AllP99      time.Duration
	HitRate     float64 // share of prompt blocks found cached
	RemoteShare float64 // share of requests sent away
	Forbidden   int     // served where the selectors don't allow
}

// Seeds is how many runs, each with arrivals of its own, make one result.
const Seeds = 4

// Run makes the runs and gives their requests together.
func Run(opts Options) Result {
	all := &world{opts: opts}
	for seed := range uint64(Seeds) {
		opts.Seed = seed + 1
		w := newWorld(opts)
		w.run()
		all.arrivals = append(all.arrivals, w.arrivals...)
		all.engines = append(all.engines, w.engines...)
	}
	return all.result()
}

func (w *world) result() Result {
	var r Result
	var quick, long []time.Duration
	for _, a := range w.arrivals {
		r.Requests++
		if a.region != a.home {
			r.RemoteShare++
		}
		if w.opts.Permitted != nil && !w.opts.Permitted(a.home, a.region) {
			r.Forbidden++
		}
		switch {
		case a.refused:
			r.Rejected++
		case a.failed || a.end.IsZero():
			r.Failed++
		default:
			r.Answered++
			if !a.first.After(a.at.Add(w.opts.Deadline)) {
				r.InTime++
			}
			if a.long {
				long = append(long, a.first.Sub(a.at))
			} else {
				quick = append(quick, a.first.Sub(a.at))
			}
		}
	}
	hit, blocks := 0, 0
	for _, e := range w.engines {
		r.Calls += e.calls
		hit += e.hit
		blocks += e.blocks
	}
	r.RemoteShare /= float64(max(1, r.Requests))
	r.HitRate = float64(hit) / float64(max(1, blocks))
	r.Goodput = float64(r.InTime) / w.opts.Duration.Seconds() / Seeds
	r.QuickP50, r.QuickP99 = quantile(quick, 0.5), quantile(quick, 0.99)
	r.LongP50, r.LongP99 = quantile(long, 0.5), quantile(long, 0.99)
	r.AllP99 = quantile(append(quick, long...), 0.99)
	return r
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all[min(len(all)-1, int(q*float64(len(all))))]
}
