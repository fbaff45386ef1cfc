package dispatchbench

import "time"

// UnevenOptions varies the site that Uneven returns.
type UnevenOptions struct {
	Seed     uint64
	Load     float64   // 1 brings each region to about what its engines can read at its peak
	Speeds   []float64 // of the engines, in turn; empty if all are alike
	Gateways int       // in all
	// LongFirst makes long prompts the more urgent kind.
	LongFirst bool
}

// unevenEngine reads prompts faster than defaultEngine, and in smaller pieces.
var unevenEngine = EngineModel{
	Slots: 64, QueueSize: 192, MemoryTokens: 513_000, StepMS: 3.03, StepMSPerRequest: 0.121, StepMSPerKToken: 0.00244,
	ReadTokensPerMS: 92.1, ReadMSPerMPairs: 0.35, ReadChunk: 1024, EventTokens: 9,
}

// unevenKinds returns long prompts that may run anywhere, and short ones that may run in
// two of the three regions. Few prompts are very long.
func unevenKinds(longFirst bool) (long, short *RequestKind) {
	long = &RequestKind{
		Name: "long", Target: 1200 * time.Millisecond, MaxPause: 400 * time.Millisecond, Deadline: 12 * time.Second,
		Value: 6, LateValue: 1.8, Priority: 1, InputTokens: lognormal{6610, 1.4, 54600}, OutputTokens: lognormal{42.5 * 9, 0.86, 124 * 9}, HintError: 0.5,
		SharedBlocks: []sharedBlock{{3, lognormal{512, 0.4, 1280}}, {330, lognormal{4870, 0.7, 14600}}},
	}
	short = &RequestKind{
		Name: "short", Target: 800 * time.Millisecond, MaxPause: 400 * time.Millisecond, Deadline: 3 * time.Second,
		Value: 1.5, LateValue: 0.46, Priority: 0, Homes: []string{"a", "b"}, Resumable: true, InputTokens: lognormal{1800, 1.3, 6870}, OutputTokens: lognormal{2.51 * 9, 1.6, 90}, HintError: 0.5,
		SharedBlocks: []sharedBlock{{40, lognormal{341, 0.4, 851}}, {1349, lognormal{227, 0.7, 681}}},
	}
	if longFirst {
		long.Priority, short.Priority = 0, 1
	}
	return long, short
}

// Uneven returns a site with three regions of 30, 18 and 10 engines that peak one after the
// other at nine times their lowest rate. Each is at or beyond its engines at its peak, while
// all engines together have twice the room that is asked for.
func Uneven(u UnevenOptions) Options {
	long, short := unevenKinds(u.LongFirst)
	long.Share, short.Share = 0.27, 0.73
	const high, low = 2.8, 0.17
	peak := func(mean, from, to float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if s := at.Seconds(); s >= from && s < to {
				return u.Load * mean * high
			}
			return u.Load * mean * low
		}
	}
	share := func(n int) int { return max(1, u.Gateways*n/100) }
	return Options{
		Seed: u.Seed, Duration: 34 * time.Second, Engine: unevenEngine, ColdTime: 3 * time.Second, ColdRate: 2.7, Kinds: []*RequestKind{long, short}, Strategy: dispatchStrategy{}, Speeds: u.Speeds,
		Regions: []Region{
			{Name: "a", Engines: 30, Gateways: share(34), Rate: peak(187, 0, 12.5)},
			{Name: "b", Engines: 18, Gateways: share(30), Rate: peak(141, 11, 23.5)},
			{Name: "c", Engines: 10, Gateways: share(36), Rate: peak(111, 22.5, 35)},
		},
	}
}
