package emulator

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"io"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// sample is a measured duration and the time at which it ended.
type sample struct{ at, duration time.Duration }

// Series holds the measurements of a run over time.
type Series struct {
	// Accept, Start and Done are the times from the first send of a submission until it was acknowledged, until a task of
	// its first step started and until its state was returned as done.
	Accept, Start, Done []sample
	// Starts and Stops count the starts and stops of tasks in each second.
	Starts, Stops []int
	Faults        []Fault
}

// addSample adds a duration that has ended now to one of the lists of the series.
func (c *Checker) addSample(list *[]sample, took time.Duration) {
	*list = append(*list, sample{time.Since(c.startedAt), took})
}

// countSecond adds one to the count of the current second in one of the lists of the series.
func (c *Checker) countSecond(list *[]int) {
	second := int(time.Since(c.startedAt).Seconds())
	for len(*list) <= second {
		*list = append(*list, 0)
	}
	(*list)[second]++
}

// Series returns the measurements so far, together with the given faults.
func (c *Checker) Series(faults []Fault) *Series {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.series
	s.Faults = faults
	return &s
}

// Quantile returns the q-quantile of the durations, or 0 without samples.
func Quantile(samples []sample, q float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	sorted := slices.SortedFunc(slices.Values(samples), func(a, b sample) int { return cmp.Compare(a.duration, b.duration) })
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].duration
}

// Size of each plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// latencyPlot plots each duration as a point.
func (s *Series) latencyPlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Time from the first send of a submission", "s", "s"
	for i, line := range []struct {
		name    string
		samples []sample
	}{{"acknowledged", s.Accept}, {"first start", s.Start}, {"done", s.Done}} {
		points := make(plotter.XYs, len(line.samples))
		for j, x := range line.samples {
			points[j].X, points[j].Y = x.at.Seconds(), x.duration.Seconds()
		}
		if len(points) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return nil, fmt.Errorf("plot %s: %w", line.name, err)
		}
		scatter.Color, scatter.Shape, scatter.Radius = plotutil.Color(i), draw.CircleGlyph{}, vg.Points(1.5)
		p.Add(scatter)
		p.Legend.Add(line.name, scatter)
	}
	return p, nil
}

// ratePlot plots the starts and stops of each second, and marks the start of each fault.
func (s *Series) ratePlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Starts and stops of tasks, and faults (crosses)", "s", "per second"
	for i, line := range []struct {
		name   string
		counts []int
	}{{"starts", s.Starts}, {"stops", s.Stops}} {
		points := make(plotter.XYs, len(line.counts))
		for j, n := range line.counts {
			points[j].X, points[j].Y = float64(j), float64(n)
		}
		if len(points) == 0 {
			continue
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return nil, fmt.Errorf("plot %s: %w", line.name, err)
		}
		l.Color = plotutil.Color(i)
		p.Add(l)
		p.Legend.Add(line.name, l)
	}
	marks := make(plotter.XYs, len(s.Faults))
	for i, f := range s.Faults {
		marks[i].X = f.At.Seconds()
	}
	if len(marks) > 0 {
		scatter, err := plotter.NewScatter(marks)
		if err != nil {
			return nil, fmt.Errorf("plot faults: %w", err)
		}
		scatter.Shape = draw.CrossGlyph{}
		p.Add(scatter)
	}
	return p, nil
}

var reportPage = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Run {{.Result.Seed}}</title></head><body>
<h1>Run with seed {{.Result.Seed}}</h1>
<p>{{.Size.Controls}} control VMs, {{.Size.Intakes}} intake VMs, {{.Size.Workers}} workers, {{.Rate}} submissions a second.</p>
<p>{{printf "%+v" .Result.Stats}}</p>
<p>Ready {{.Result.Ready}} and finished {{.Result.Finished}} after the last fault.</p>
<h2>Broken promises: {{len .Result.Violations}}</h2><pre>{{range .Result.Violations}}{{.}}
{{end}}</pre>
<table border="1"><tr><th>Time until</th><th>median</th><th>99%</th><th>samples</th></tr>{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Median}}</td><td>{{.High}}</td><td>{{.Count}}</td></tr>{{end}}</table>
{{range .Plots}}{{.}}{{end}}
<h2>Faults</h2><pre>{{range .Result.Faults}}{{.}}
{{end}}</pre></body></html>
`))

type reportRow struct {
	Name         string
	Median, High time.Duration
	Count        int
}

// WriteReport writes an HTML page with the result and plots of a run.
func WriteReport(w io.Writer, o Options, r *Result) error {
	var plots []template.HTML
	for _, make := range []func() (*plot.Plot, error){r.Series.latencyPlot, r.Series.ratePlot} {
		p, err := make()
		if err != nil {
			return err
		}
		canvas := vgsvg.New(plotWidth, plotHeight)
		p.Draw(draw.New(canvas))
		var svg bytes.Buffer
		if _, err := canvas.WriteTo(&svg); err != nil {
			return fmt.Errorf("write plot: %w", err)
		}
		_, body, _ := bytes.Cut(svg.Bytes(), []byte("?>")) // the page needs no XML declaration
		plots = append(plots, template.HTML(body))         //nolint:gosec // generated here from trusted data
	}
	var rows []reportRow
	for _, line := range []struct {
		name    string
		samples []sample
	}{{"acknowledged", r.Series.Accept}, {"first start", r.Series.Start}, {"shown as done", r.Series.Done}} {
		rows = append(rows, reportRow{line.name, Quantile(line.samples, 0.5), Quantile(line.samples, 0.99), len(line.samples)})
	}
	return reportPage.Execute(w, struct {
		Options
		Result *Result
		Rows   []reportRow
		Plots  []template.HTML
	}{o, r, rows, plots})
}
