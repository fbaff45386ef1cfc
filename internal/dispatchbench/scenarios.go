package dispatchbench

import (
	"time"
)

// requestKinds returns the users' kinds of requests: long prompts that share blocks and
// may run anywhere, and short ones with long answers that may run in the given home
// regions.
func requestKinds(homes []string) []*RequestKind {
	return []*RequestKind{
		{
			Name: "review", Share: 0.45, Target: time.Second, MaxPause: 600 * time.Millisecond, Deadline: 5 * time.Second,
			Value: 2.7, LateValue: 1.0, Priority: 1, Resumable: true, InputTokens: lognormal{2890, 1, 39600}, OutputTokens: lognormal{52, 1.4, 208},
			SharedBlocks: []sharedBlock{{4, lognormal{2520, 0.4, 6290}}, {800, lognormal{3780, 0.7, 11300}}},
		},
		{
			Name: "question", Share: 0.55, Target: 1500 * time.Millisecond, MaxPause: 600 * time.Millisecond, Deadline: 15 * time.Second,
			Value: 2.3, LateValue: 0.9, Priority: 0, Homes: homes, InputTokens: lognormal{628, 1, 3310}, OutputTokens: lognormal{292, 0.69, 954},
			SharedBlocks: []sharedBlock{{40, lognormal{119, 0.4, 298}}, {1200, lognormal{79, 0.7, 238}}},
		},
	}
}

// peakRate returns a rate that is high from one time to another, in seconds, and low
// otherwise.
func peakRate(mean, from, to float64) func(time.Duration) float64 {
	const high, low = 2.3, 0.3
	return func(at time.Duration) float64 {
		if s := at.Seconds(); s >= from && s < to {
			return mean * high
		}
		return mean * low
	}
}

// threeRegions returns a site with 63 gateways and 140 engines in three regions, which peak
// one after the other.
func threeRegions(load float64) Options {
	return Options{
		Duration: 34 * time.Second, Engine: defaultEngine, ColdTime: 3 * time.Second, ColdRate: 1.5, Kinds: requestKinds([]string{"a", "b"}),
		Regions: []Region{
			{"a", 70, 23, peakRate(load*205, 0, 12.5)},
			{"b", 44, 20, peakRate(load*160, 11, 23.5)},
			{"c", 26, 20, peakRate(load*128, 22.5, 35)},
		},
	}
}

// LargeSite returns a site with 160 engines of 32 slots, in three regions that peak one
// after the other, and about the given number of gateways. Half of one region's engines
// crash at its peak.
func LargeSite(seed uint64, load float64, gateways int) Options {
	model := defaultEngine
	model.Slots, model.QueueSize, model.MemoryTokens, model.EventTokens = 32, 67, 232_000, 9
	o := Options{
		Seed: seed, Duration: 34 * time.Second, Engine: model, ColdTime: 3 * time.Second, ColdRate: 1.9, Kinds: requestKinds([]string{"a", "b"}), Strategy: dispatchStrategy{},
		Regions: []Region{
			{"a", 72, gateways * 35 / 100, peakRate(load*317, 0, 12.5)},
			{"b", 52, gateways * 31 / 100, peakRate(load*266, 11, 23.5)},
			{"c", 36, gateways * 34 / 100, peakRate(load*227, 22.5, 35)},
		},
	}
	o.Faults = func(s *Simulation) { s.At(14*time.Second, func() { s.Crash("b", 0.5, 4500*time.Millisecond) }) }
	return o
}

// burstRate multiplies a rate by a factor from one time to another, in seconds.
func burstRate(rate func(time.Duration) float64, factor, from, to float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if s := at.Seconds(); s >= from && s < to {
			return rate(at) * factor
		}
		return rate(at)
	}
}

// Overload returns a site of twelve engines that for eight seconds get five times their
// usual load, which is several times what they can serve.
func Overload(seed uint64) Options { return Burst(seed, 5, 1) }

// Burst returns a site of twelve engines that for eight seconds get their usual load times
// the factor. The engines are faster than the default by the factor speed, which the
// dispatchers don't know at first.
func Burst(seed uint64, factor, speed float64) Options {
	model := defaultEngine
	model.Slots, model.QueueSize, model.MemoryTokens = 64, 134, 215_000
	steady := func(time.Duration) float64 { return 22 }
	rate := burstRate(steady, factor, 3, 11)
	return Options{
		Seed: seed, Duration: 16 * time.Second, Engine: model.withSpeed(speed), ColdTime: 3 * time.Second, ColdRate: 2,
		Kinds: requestKinds([]string{"a", "b"}), Strategy: dispatchStrategy{},
		Regions: []Region{{"a", 6, 3, rate}, {"b", 4, 3, rate}, {"c", 2, 3, rate}},
	}
}

// RateLimits returns a site with two regions and the given number of gateways. After one
// second, a share of one region's engines announce a rate limit in requests per second.
func RateLimits(seed uint64, gateways int, share, perSecond float64) Options {
	model := defaultEngine
	model.Slots, model.QueueSize, model.MemoryTokens = 64, 134, 215_000
	steady := func(perSecond float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return perSecond }
	}
	return Options{
		Seed: seed, Duration: 16 * time.Second, Engine: model, ColdTime: 3 * time.Second, ColdRate: 2,
		Kinds: requestKinds([]string{"a", "b"}), Strategy: dispatchStrategy{},
		Regions: []Region{{"a", 24, gateways / 2, steady(190)}, {"b", 24, gateways / 2, steady(190)}},
		Faults:  func(s *Simulation) { s.At(time.Second, func() { s.AnnounceLimits("a", share, perSecond) }) },
	}
}

// scenario is a simulation without its strategy.
type scenario struct {
	name string
	opts Options
}

func scenarios() []scenario {
	withCrashes := threeRegions(1)
	withCrashes.Faults = func(s *Simulation) {
		s.At(7800*time.Millisecond, func() { s.Crash("b", 0.5, 4500*time.Millisecond) })
		s.At(10500*time.Millisecond, func() {
			for _, r := range s.Regions {
				s.Crash(r.Name, 0.25, 2*time.Second)
			}
		})
	}
	for i, r := range withCrashes.Regions {
		withCrashes.Regions[i].Rate = burstRate(r.Rate, 1.3, 11.4, 15)
	}
	return []scenario{
		{"peaks in turn, as on a quiet day", threeRegions(0.6)},
		{"peaks in turn, high load", threeRegions(1)},
		{"high load, engines crash and traffic jumps", withCrashes},
	}
}

// strategies returns package dispatch and the baselines that it is compared with.
func strategies() []struct {
	name     string
	strategy Strategy
} {
	return []struct {
		name     string
		strategy Strategy
	}{
		{"ours", dispatchStrategy{}},
		{"random", baselineStrategy{randomEngine}},
		{"fewest in flight", baselineStrategy{fewestInFlight}},
		{"two choices", baselineStrategy{twoChoices}},
		{"prefix, bounded load", baselineStrategy{prefixBounded}},
	}
}

// Run runs one simulation.
func Run(o Options) Result {
	s := newSimulation(o)
	s.run()
	return s.result()
}

// CompareStrategies runs each scenario with each strategy, or with package dispatch alone,
// at a site with 140 engines and 63 gateways.
func CompareStrategies(seed uint64, dispatchOnly bool) []Table {
	var out []Table
	for _, s := range scenarios() {
		t := Table{Name: s.name}
		for i, entry := range strategies() {
			if dispatchOnly && i > 0 {
				break
			}
			o := s.opts
			o.Seed, o.Strategy = seed, entry.strategy
			t.Rows = append(t.Rows, Row{entry.name, Run(o)})
		}
		out = append(out, t)
	}
	return out
}
