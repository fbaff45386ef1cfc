package dispatchbench

import (
	"time"
)

// kinds are those of the users: long prompts that share parts and
// may run anywhere, and short ones with long answers that two regions may serve.
func kinds(homes []string) []*Kind {
	return []*Kind{
		{
			Name: "review", Share: 0.45, Target: time.Second, MaxPause: 600 * time.Millisecond, Deadline: 5 * time.Second,
			Worth: 2.7, Late: 1.0, Priority: 1, Resumes: true, In: lognormal{2890, 1, 39600}, Out: lognormal{52, 1.4, 208},
			Shared: []sharedPart{{4, lognormal{2520, 0.4, 6290}}, {800, lognormal{3780, 0.7, 11300}}},
		},
		{
			Name: "question", Share: 0.55, Target: 1500 * time.Millisecond, MaxPause: 600 * time.Millisecond, Deadline: 15 * time.Second,
			Worth: 2.3, Late: 0.9, Priority: 0, Homes: homes, In: lognormal{628, 1, 3310}, Out: lognormal{292, 0.69, 954},
			Shared: []sharedPart{{40, lognormal{119, 0.4, 298}}, {1200, lognormal{79, 0.7, 238}}},
		},
	}
}

// peaks gives a rate that is high for a part of the time: low outside.
func peaks(mean, from, to float64) func(time.Duration) float64 {
	const high, low = 2.3, 0.3
	return func(at time.Duration) float64 {
		if s := at.Seconds(); s >= from && s < to {
			return mean * high
		}
		return mean * low
	}
}

// grown is a site of 63 gateways and 140 engines whose regions peak in turn.
func grown(load float64) Options {
	return Options{
		Length: 34 * time.Second, Engine: grownEngine, ColdTime: 3 * time.Second, ColdRate: 1.5, Kinds: kinds([]string{"a", "b"}),
		Regions: []Region{
			{"a", 70, 23, peaks(load*205, 0, 12.5)},
			{"b", 44, 20, peaks(load*160, 11, 23.5)},
			{"c", 26, 20, peaks(load*128, 22.5, 35)},
		},
	}
}

// Wide is a site of 160 engines of 32 slots whose regions peak in turn, before so many
// gateways in all; half of a region's engines crash at its peak.
func Wide(seed uint64, load float64, gateways int) Options {
	engines := grownEngine
	engines.Slots, engines.Queue, engines.Memory, engines.Stride = 32, 67, 232_000, 9
	o := Options{
		Seed: seed, Length: 34 * time.Second, Engine: engines, ColdTime: 3 * time.Second, ColdRate: 1.9, Kinds: kinds([]string{"a", "b"}), Way: ours{},
		Regions: []Region{
			{"a", 72, gateways * 35 / 100, peaks(load*317, 0, 12.5)},
			{"b", 52, gateways * 31 / 100, peaks(load*266, 11, 23.5)},
			{"c", 36, gateways * 34 / 100, peaks(load*227, 22.5, 35)},
		},
	}
	o.Faults = func(w *World) { w.At(14*time.Second, func() { w.Crash("b", 0.5, 4500*time.Millisecond) }) }
	return o
}

// burst multiplies a rate for some time.
func burst(rate func(time.Duration) float64, times, from, to float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if s := at.Seconds(); s >= from && s < to {
			return rate(at) * times
		}
		return rate(at)
	}
}

// Overload has the callers of twelve engines come five times as often as usual, which is
// several times what its engines can serve, for eight seconds.
func Overload(seed uint64) Options { return Burst(seed, 5, 1) }

// Burst has the callers of twelve engines come so many times as often as usual, for eight
// seconds, before engines that are so many times as fast as they are believed to be at
// the start.
func Burst(seed uint64, times, speed float64) Options {
	engines := grownEngine
	engines.Slots, engines.Queue, engines.Memory = 64, 134, 215_000
	steady := func(time.Duration) float64 { return 22 }
	rate := burst(steady, times, 3, 11)
	return Options{
		Seed: seed, Length: 16 * time.Second, Engine: engines.withSpeed(speed), ColdTime: 3 * time.Second, ColdRate: 2,
		Kinds: kinds([]string{"a", "b"}), Way: ours{},
		Regions: []Region{{"a", 6, 3, rate}, {"b", 4, 3, rate}, {"c", 2, 3, rate}},
	}
}

// Limited has a share of one region's engines name a limit after a second, before so many
// gateways of two regions.
func Limited(seed uint64, gateways int, share, perSecond float64) Options {
	engines := grownEngine
	engines.Slots, engines.Queue, engines.Memory = 64, 134, 215_000
	steady := func(perSecond float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return perSecond }
	}
	return Options{
		Seed: seed, Length: 16 * time.Second, Engine: engines, ColdTime: 3 * time.Second, ColdRate: 2,
		Kinds: kinds([]string{"a", "b"}), Way: ours{},
		Regions: []Region{{"a", 24, gateways / 2, steady(190)}, {"b", 24, gateways / 2, steady(190)}},
		Faults:  func(w *World) { w.At(time.Second, func() { w.NameLimits("a", share, perSecond) }) },
	}
}

// scenario is a day without its way.
type scenario struct {
	name string
	opts Options
}

func scenarios() []scenario {
	crashes := grown(1)
	crashes.Faults = func(w *World) {
		w.At(7800*time.Millisecond, func() { w.Crash("b", 0.5, 4500*time.Millisecond) })
		w.At(10500*time.Millisecond, func() {
			for _, r := range w.Regions {
				w.Crash(r.Name, 0.25, 2*time.Second)
			}
		})
	}
	for i, r := range crashes.Regions {
		crashes.Regions[i].Rate = burst(r.Rate, 1.3, 11.4, 15)
	}
	return []scenario{
		{"peaks in turn, as on a quiet day", grown(0.6)},
		{"peaks in turn, high load", grown(1)},
		{"high load, engines crash and traffic jumps", crashes},
	}
}

// ways are package dispatch and the baselines it is compared with.
func ways() []struct {
	name string
	way  Way
} {
	return []struct {
		name string
		way  Way
	}{
		{"ours", ours{}},
		{"random", baseline{random}},
		{"fewest in flight", baseline{fewestInFlight}},
		{"two choices", baseline{twoChoices}},
		{"prefix, bounded load", baseline{prefixBounded}},
	}
}

// Run plays one day.
func Run(o Options) Result {
	w := newWorld(o)
	w.run()
	return w.result()
}

// Grown compares the ways before 140 engines and 63 gateways, or plays ours alone.
func Grown(seed uint64, oursOnly bool) []Table {
	var out []Table
	for _, s := range scenarios() {
		t := Table{Name: s.name}
		for i, way := range ways() {
			if oursOnly && i > 0 {
				break
			}
			o := s.opts
			o.Seed, o.Way = seed, way.way
			t.Rows = append(t.Rows, Row{way.name, Run(o)})
		}
		out = append(out, t)
	}
	return out
}
