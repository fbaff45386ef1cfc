package bench

import (
	"io"

	"github.com/juju/errors"
)

// Report runs all comparisons and writes the results as text to w and as SVG plots into
// dir.
func Report(w io.Writer, dir string) error {
	engines, overload, retries, regions := EngineChoice(), Overload(), Retries(), Associations()
	for _, tables := range [][]Table{engines, overload, retries, regions} {
		for _, t := range tables {
			if err := t.Write(w); err != nil {
				return errors.Trace(err)
			}
		}
	}
	millis := func(r Result) float64 { return float64(r.AllP99.Milliseconds()) }
	for _, err := range []error{
		Bars(dir, "engine-p99.svg", "time to the first token, 99th percentile", "ms", engines, millis),
		Bars(dir, "engine-hit.svg", "share of prompt blocks found cached", "share", engines, func(r Result) float64 { return r.HitRate }),
		Lines(dir, "overload-goodput.svg", "answered in time over offered load", "offered load over capacity", "answers a second", Loads, overload, func(r Result) float64 { return r.Goodput }),
		Lines(dir, "overload-quick.svg", "quick questions, 99th percentile", "offered load over capacity", "ms", Loads, overload, func(r Result) float64 { return float64(r.QuickP99.Milliseconds()) }),
		Bars(dir, "region-p99.svg", "time to the first token, 99th percentile", "ms", regions, millis),
		Bars(dir, "region-away.svg", "share sent away", "share", regions, func(r Result) float64 { return r.RemoteShare }),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}
