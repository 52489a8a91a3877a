package load

import (
	"fmt"
	"html"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// curve describes one plot: a value of each interval over time.
type curve struct {
	file, title, unit string
	value             func(*Interval) float64
}

var curves = []curve{
	{"latency.svg", "p99 latency of answers", "ms", (*Interval).P99},
	{"coverage.svg", "mean coverage of answers", "share of shards", (*Interval).Coverage},
	{"refusals.svg", "requests without an answer", "requests", func(i *Interval) float64 { return float64(i.Refused) }},
}

// Size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// WritePlots writes one SVG plot for each curve to dir, and an HTML page with the
// table and all plots.
func (r *Report) WritePlots(dir, title string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create the plots directory: %w: choose a writable directory", err)
	}
	var page strings.Builder
	var table strings.Builder
	r.WriteTable(&table)
	fmt.Fprintf(&page, "<!doctype html><meta charset=utf-8><title>%s</title><h1>%s</h1><pre>%s</pre>\n",
		html.EscapeString(title), html.EscapeString(title), html.EscapeString(table.String()))
	for _, c := range curves {
		path := filepath.Join(dir, c.file)
		if err := r.plot(c, path); err != nil {
			return err
		}
		svg, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		_, body, _ := strings.Cut(string(svg), "<svg")
		fmt.Fprintf(&page, "<svg%s\n", body)
	}
	return os.WriteFile(filepath.Join(dir, "report.html"), []byte(page.String()), 0o644)
}

func (r *Report) plot(c curve, path string) error {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = c.unit
	p.Legend.Top = true
	for i, class := range r.Classes {
		points := make(plotter.XYs, 0, len(class.Intervals))
		for j := range class.Intervals {
			at := float64(j) * r.Interval.Seconds()
			points = append(points, plotter.XY{X: at, Y: c.value(&class.Intervals[j])})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", c.file, err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(class.Name, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}
