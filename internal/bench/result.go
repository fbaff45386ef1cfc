package bench

import (
	"sort"
	"time"
)

// Result holds the counts and latencies of one policy in one scenario, over all seeds.
type Result struct {
	Requests    int
	Answered    int
	InTime      int // first token by the deadline
	Rejected    int
	Failed      int
	Calls       int // attempts at engines
	Goodput     float64
	QuickP50    time.Duration // time to the first token, of quick questions
	QuickP99    time.Duration
	LongP50     time.Duration
	LongP99     time.Duration
	AllP99      time.Duration
	HitRate     float64 // share of prompt blocks found in the cache
	RemoteShare float64 // share of requests sent to a remote region
	Forbidden   int     // requests sent to a region that the selectors don't permit
}

// Seeds is the number of runs per result. Each run has its own arrivals.
const Seeds = 4

// Run runs the simulation once for each seed, which replaces opts.Seed, and returns the
// result over the requests of all runs.
func Run(opts Options) Result {
	combined := &world{opts: opts}
	for seed := range uint64(Seeds) {
		opts.Seed = seed + 1
		w := newWorld(opts)
		w.run()
		combined.arrivals = append(combined.arrivals, w.arrivals...)
		combined.engines = append(combined.engines, w.engines...)
	}
	return combined.result()
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
		case a.rejected:
			r.Rejected++
		case a.failed || a.end.IsZero():
			r.Failed++
		default:
			r.Answered++
			if !a.firstToken.After(a.at.Add(w.opts.Deadline)) {
				r.InTime++
			}
			if a.long {
				long = append(long, a.firstToken.Sub(a.at))
			} else {
				quick = append(quick, a.firstToken.Sub(a.at))
			}
		}
	}
	hit, blocks := 0, 0
	for _, e := range w.engines {
		r.Calls += e.calls
		hit += e.hitBlocks
		blocks += e.promptBlocks
	}
	r.RemoteShare /= float64(max(1, r.Requests))
	r.HitRate = float64(hit) / float64(max(1, blocks))
	r.Goodput = float64(r.InTime) / w.opts.Duration.Seconds() / Seeds
	r.QuickP50, r.QuickP99 = quantile(quick, 0.5), quantile(quick, 0.99)
	r.LongP50, r.LongP99 = quantile(long, 0.5), quantile(long, 0.99)
	r.AllP99 = quantile(append(quick, long...), 0.99)
	return r
}

func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return durations[min(len(durations)-1, int(q*float64(len(durations))))]
}
