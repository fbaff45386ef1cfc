package bench

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Bars writes a bar chart of one value per table and policy to a file in dir.
func Bars(dir, file, title, unit string, tables []Table, value func(Result) float64) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, unit
	p.Y.Min = 0
	policies := len(tables[0].Rows)
	names := make([]string, len(tables))
	width := vg.Points(12)
	for policy := range policies {
		values := make(plotter.Values, len(tables))
		for i, t := range tables {
			names[i] = t.Name
			values[i] = value(t.Rows[policy].Result)
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return errors.Trace(err)
		}
		bars.Color = plotutil.Color(policy)
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(float64(policy)-float64(policies-1)/2)
		p.Add(bars)
		p.Legend.Add(tables[0].Rows[policy].Policy, bars)
	}
	p.Legend.Top = true
	p.NominalX(shorten(names)...)
	return save(p, dir, file)
}

// maxNameLength is the length in bytes to which a table's name is cut in the label of its
// bars.
const maxNameLength = 22

func shorten(names []string) []string {
	out := make([]string, len(names))
	for i, name := range names {
		out[i] = name[:min(len(name), maxNameLength)]
	}
	return out
}

// Lines writes a line chart to a file in dir: one line per policy, with the values of the
// tables over x.
func Lines(dir, file, title, xLabel, yLabel string, x []float64, tables []Table, value func(Result) float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, xLabel, yLabel
	p.Y.Min = 0
	var args []any
	for policy := range tables[0].Rows {
		points := make(plotter.XYs, len(tables))
		for i, t := range tables {
			points[i] = plotter.XY{X: x[i], Y: value(t.Rows[policy].Result)}
		}
		args = append(args, tables[0].Rows[policy].Policy, points)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return errors.Trace(err)
	}
	return save(p, dir, file)
}

func save(p *plot.Plot, dir, file string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	return errors.Annotatef(p.Save(plotWidth, plotHeight, filepath.Join(dir, file)), "plot %s", file)
}
