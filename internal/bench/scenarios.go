package bench

import (
	"fmt"
	"io"
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/route"
)

// Row is the result of one policy in one scenario.
type Row struct {
	Policy string
	Result Result
}

// Table compares the policies in one scenario, on the same arrivals. The first row is the
// policy of the daemon; the others are baselines.
type Table struct {
	Name string
	Rows []Row
}

// baseOptions returns a scenario with one region of three hosts and twelve engines. load
// is a multiple of their capacity.
func baseOptions(load float64) Options {
	return Options{
		Seed: 1, Duration: 60 * time.Second, Slots: 8, EnginePolicy: route.PrefixBounded{}, RegionPolicy: RegionHome,
		ReportLag: time.Second, EventLoss: 0.5, LongShare: 0.3, Documents: 150, Deadline: 5 * time.Second, FirstToken: 380 * time.Millisecond,
		Regions: []RegionOptions{{Name: "lagos", Engines: 12, Hosts: 3, Rate: constantRate(load * capacity(12))}},
	}
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// requestTime is the mean time that a request holds a slot of a nearly full batch, with
// half of the long prompts cached. The capacity is computed from it.
const requestTime = 1550 * time.Millisecond

// capacity returns the requests per second that so many engines of 8 slots can answer.
func capacity(engines int) float64 { return float64(engines*8) / requestTime.Seconds() }

// enginePolicies returns the policies that choose an engine, that of the daemon first.
func enginePolicies() []struct {
	name  string
	apply func(Options) Options
} {
	with := func(p route.Policy, singleQueue bool) func(Options) Options {
		return func(o Options) Options {
			o.EnginePolicy, o.SingleQueue = p, singleQueue
			return o
		}
	}
	return []struct {
		name  string
		apply func(Options) Options
	}{
		{"prefix+bounded", with(route.PrefixBounded{}, false)},
		{"random", with(route.Random{}, false)},
		{"fewest in flight", with(route.FewestInFlight{}, false)},
		{"two choices", with(route.TwoChoices{}, false)},
		{"one owner", with(route.PrefixBounded{}, true)},
	}
}

// EngineChoice compares the policies that choose an engine: under load, with a slow
// engine, with an engine that hides its load, and with stale reports.
func EngineChoice() []Table {
	cases := []struct {
		name string
		opts Options
	}{
		{"hot prefixes, load 0.7", baseOptions(0.7)},
		{"hot prefixes, load 0.9", baseOptions(0.9)},
		{"one engine at a quarter of the speed, load 0.7", withFaults(baseOptions(0.7), func(w *World) { w.Engines("lagos")[0].SetSpeed(0.25) })},
		{"one engine reports no load, load 0.8", withFaults(baseOptions(0.8), func(w *World) { w.Engines("lagos")[0].HideLoad() })},
		{"no cache events and reports 3 s late, load 0.8", withStaleReports(baseOptions(0.8))},
	}
	var tables []Table
	for _, c := range cases {
		t := Table{Name: c.name}
		for _, policy := range enginePolicies() {
			t.Rows = append(t.Rows, Row{policy.name, Run(policy.apply(c.opts))})
		}
		tables = append(tables, t)
	}
	return tables
}

func withFaults(o Options, faults func(*World)) Options {
	o.InjectFaults = faults
	return o
}

func withStaleReports(o Options) Options {
	o.EventLoss, o.ReportLag = 1, 3*time.Second
	return o
}

// Loads are the loads of Overload, as multiples of the capacity.
var Loads = []float64{1, 2, 5, 10}

// Overload compares the daemon's bounded queue with the same queue without deadlines, at
// several multiples of the capacity.
func Overload() []Table {
	var tables []Table
	for _, load := range Loads {
		o := baseOptions(load)
		o.Duration = 30 * time.Second
		noDeadlines := o
		noDeadlines.NoDeadline = true
		t := Table{Name: fmt.Sprintf("offered %g times the capacity", load)}
		t.Rows = append(t.Rows, Row{"bounded queue", Run(o)}, Row{"no deadlines", Run(noDeadlines)})
		tables = append(tables, t)
	}
	return tables
}

// Retries measures the retry budget and the ejection of engines while half of the engines
// fail.
func Retries() []Table {
	o := withFaults(baseOptions(0.3), func(w *World) {
		w.At(10*time.Second, func() {
			for i, e := range w.Engines("lagos") {
				e.SetFailing(i%2 == 0)
			}
		})
	})
	return []Table{{Name: "half of the engines fail from 10 s on, load 0.3", Rows: []Row{{"budget and ejection", Run(o)}}}}
}

// associationOptions returns a scenario of three regions whose daily peaks are offset by
// a third of a day each. The run stands for one day.
func associationOptions(names []string, weights route.Weights, permitted func(home, region string) bool) Options {
	o := baseOptions(0)
	o.Duration = 120 * time.Second
	o.RoundTrip = 160 * time.Millisecond
	o.Weights, o.Permitted = weights, permitted
	o.Regions = nil
	for i, engines := range []int{6, 4, 2} {
		peak := float64(i) / 3
		rate := func(at time.Duration) float64 {
			phase := at.Seconds()/120 - peak
			return capacity(engines) * (0.7 + 0.6*math.Cos(2*math.Pi*phase))
		}
		o.Regions = append(o.Regions, RegionOptions{Name: names[i], Engines: engines, Hosts: 3, Rate: rate})
	}
	return o
}

// Associations compares the policies that choose a region, for two associations that
// differ in their weights and in the regions that they permit.
func Associations() []Table {
	cooperative := associationOptions([]string{"lagos", "abuja", "kano"}, route.Weights{TailLatency: 4, Cost: 1, Locality: 1, FirstTokenTarget: 380 * time.Millisecond}, func(home, region string) bool {
		if home == "kano" {
			return region != "lagos"
		}
		return region != "kano"
	})
	association := associationOptions([]string{"tunis", "sfax", "marseille"}, route.Weights{TailLatency: 1, Cost: 1, Locality: 4, FirstTokenTarget: 380 * time.Millisecond}, func(home, region string) bool {
		if home == "marseille" {
			return region != "tunis"
		}
		return region != "marseille"
	})
	var tables []Table
	for _, c := range []struct {
		name string
		opts Options
	}{{"cooperative, peaks in turn", cooperative}, {"association, peaks in turn", association}} {
		t := Table{Name: c.name}
		for _, policy := range []RegionPolicy{RegionScored, RegionHome, RegionRandom, RegionLeastLoaded} {
			o := c.opts
			o.RegionPolicy = policy
			t.Rows = append(t.Rows, Row{string(policy), Run(o)})
		}
		tables = append(tables, t)
	}
	return tables
}

// Write writes a table as text. Its ratios are relative to the first row.
func (t Table) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "\n%s\n%-20s %7s %8s %7s %7s %7s %9s %9s %9s %9s %6s %6s %9s %9s\n", t.Name,
		"way", "sent", "in time", "refused", "failed", "calls", "quick p50", "quick p99", "long p50", "long p99", "hit", "away", "p99 ratio", "goodput r"); err != nil {
		return errors.Trace(err)
	}
	first := t.Rows[0].Result
	for _, row := range t.Rows {
		r := row.Result
		_, err := fmt.Fprintf(w, "%-20s %7d %8d %7d %7d %7d %7dms %7dms %7dms %7dms %6.3f %6.3f %9.2f %9.2f\n", row.Policy,
			r.Requests, r.InTime, r.Rejected, r.Failed, r.Calls, r.QuickP50.Milliseconds(), r.QuickP99.Milliseconds(), r.LongP50.Milliseconds(), r.LongP99.Milliseconds(),
			r.HitRate, r.RemoteShare, float64(r.AllP99)/float64(first.AllP99), r.Goodput/first.Goodput)
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
