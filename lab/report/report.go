// Package report presents the results of experiments: as one self-contained HTML page with embedded SVG plots, or as
// separate plot files.
package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"shalebeam/lab/runner"
	"shalebeam/lab/tally"
)

// Doc holds all results of one command. --json writes it, and the report command reads it.
type Doc struct {
	Title   string          `json:"title"`
	About   string          `json:"about,omitempty"`
	Partial bool            `json:"partial,omitempty"`
	Runs    []*tally.Result `json:"runs"`
	Groups  []Group         `json:"groups,omitempty"` // variants, by compare and sweep
	Knob    string          `json:"knob,omitempty"`   // the key that a sweep varied along the x axis
}

// Group summarises one variant over its seeds.
type Group struct {
	Name   string           `json:"name"`
	Line   string           `json:"line,omitempty"` // legend of its line in a sweep's plot
	X      float64          `json:"x,omitempty"`    // value of Doc.Knob; a time is in ms
	G      runner.Estimate  `json:"g"`
	Gain   *runner.Estimate `json:"against_first,omitempty"` // difference to the first variant, paired by seed
	Breaks int              `json:"breaks"`                  // number of violations
}

// Plot is a plot with the name of its file, without extension.
type Plot struct {
	Name string
	plot *plot.Plot
}

// colours are the colours of a plot's lines, in order.
var colours = []color.Color{color.RGBA{0x1f, 0x6f, 0xb4, 255}, color.RGBA{0xd9, 0x5f, 0x02, 255},
	color.RGBA{0x2c, 0x9c, 0x5b, 255}, color.RGBA{0xb5, 0x2b, 0x6e, 255}, color.RGBA{0x66, 0x66, 0x66, 255},
	color.RGBA{0x8a, 0x6d, 0x1d, 255}}

// Plots draws all plots for which the document has data. On an error it returns those that succeeded.
func (d *Doc) Plots() (plots []Plot, err error) {
	add := func(name string, p *plot.Plot, e error) {
		if e != nil && err == nil {
			err = fmt.Errorf("%s: %w", name, e)
		}
		if e == nil && p != nil {
			plots = append(plots, Plot{name, p})
		}
	}
	if len(d.Groups) > 0 && d.Knob != "" {
		p, e := d.plotSweep()
		add("sweep", p, e)
	} else if len(d.Groups) > 1 {
		p, e := d.plotVariants()
		add("compare", p, e)
	}
	if len(d.Groups) == 0 {
		for i, r := range d.Runs {
			if r == nil || i >= 6 {
				break
			}
			p, e := plotSeconds(r)
			add(fmt.Sprintf("run-%d-%s", i, r.Policy), p, e)
		}
	}
	p, e := d.plotLatency()
	add("latency", p, e)
	return plots, err
}

// addLine adds line i and its legend to a plot; lines beyond the number of colours are dashed.
func addLine(p *plot.Plot, name string, i int, xy plotter.XYs) error {
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color, l.Width = colours[i%len(colours)], vg.Points(1.4)
	if i >= len(colours) {
		l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// newPlot returns a plot with a grid and labelled axes.
func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// plotSeconds plots the counts of each second of a run; nil if the run has none.
func plotSeconds(r *tally.Result) (*plot.Plot, error) {
	if len(r.Seconds) == 0 {
		return nil, nil
	}
	p := newPlot(fmt.Sprintf("%s, %s, seed %d (%s)", r.Plan, r.Policy, r.Seed, r.Way), "second", "jobs a second")
	for i, c := range []struct {
		name  string
		value func(tally.Second) float64
	}{{"came", func(s tally.Second) float64 { return float64(s.Came) }},
		{"late", func(s tally.Second) float64 { return float64(s.Late) }},
		{"in time", func(s tally.Second) float64 { return float64(s.InTime) }},
		{"declined", func(s tally.Second) float64 { return float64(s.Declined) }},
		{"other", func(s tally.Second) float64 { return float64(s.Other) }},
		{"capacity (cores)", func(s tally.Second) float64 { return s.Capacity }}} {
		xy := make(plotter.XYs, len(r.Seconds))
		for k, s := range r.Seconds {
			xy[k] = plotter.XY{X: float64(k), Y: c.value(s)}
		}
		if err := addLine(p, c.name, i, xy); err != nil {
			return nil, err
		}
	}
	p.Legend.Left = true
	return p, nil
}

// plotLatency plots the latency quantiles of all runs from the median upwards; nil if there are none.
func (d *Doc) plotLatency() (*plot.Plot, error) {
	p := newPlot("latency of settled jobs, from first try", "part that is faster", "ms")
	p.X.Tick.Marker = quantileTicks{}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	n := 0
	for _, r := range d.Runs {
		if r == nil {
			continue
		}
		var xy plotter.XYs
		for _, at := range r.Curve {
			if at[1] > 0 {
				xy = append(xy, plotter.XY{X: -math.Log10(1 - at[0]), Y: at[1]})
			}
		}
		if len(xy) < 2 || n >= 2*len(colours) {
			continue
		}
		if err := addLine(p, fmt.Sprintf("%s, %s, seed %d", r.Plan, r.Policy, r.Seed), n, xy); err != nil {
			return nil, err
		}
		n++
	}
	if n == 0 {
		return nil, nil
	}
	p.Legend.Left = true
	return p, nil
}

// quantileTicks labels an axis of -log10(1-q) with quantiles q.
type quantileTicks struct{}

// Ticks implements plot.Ticker.
func (quantileTicks) Ticks(from, to float64) (ticks []plot.Tick) {
	for _, q := range []string{"0.5", "0.9", "0.99", "0.999", "0.9999"} {
		var x float64
		fmt.Sscan(q, &x)
		if at := -math.Log10(1 - x); at >= from-1e-9 && at <= to+1e-9 {
			ticks = append(ticks, plot.Tick{Value: at, Label: q})
		}
	}
	return ticks
}

// meansWithIntervals are points with vertical error bars.
type meansWithIntervals struct {
	plotter.XYs
	plotter.YErrors
}

// confidenceIntervals returns the mean G of each group at x with its interval.
func confidenceIntervals(groups []Group, x func(i int, g Group) float64) meansWithIntervals {
	b := meansWithIntervals{make(plotter.XYs, len(groups)), make(plotter.YErrors, len(groups))}
	for i, g := range groups {
		b.XYs[i] = plotter.XY{X: x(i, g), Y: g.G.Mean}
		b.YErrors[i].Low, b.YErrors[i].High = g.G.Mean-g.G.Low, g.G.High-g.G.Mean
	}
	return b
}

// plotVariants plots G by variant.
func (d *Doc) plotVariants() (*plot.Plot, error) {
	p := newPlot("G by variant, with 95% intervals", "", "G")
	b := confidenceIntervals(d.Groups, func(i int, _ Group) float64 { return float64(i) })
	e, err := plotter.NewYErrorBars(b)
	if err != nil {
		return nil, err
	}
	s, err := plotter.NewScatter(b.XYs)
	if err != nil {
		return nil, err
	}
	s.Shape, s.Radius, s.Color = draw.CircleGlyph{}, vg.Points(4), colours[0]
	p.Add(e, s)
	var names []string
	for _, g := range d.Groups {
		names = append(names, g.Name)
	}
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.5, float64(len(names))-0.5
	return p, nil
}

// plotSweep plots G against Doc.Knob, with a line for each value of Group.Line.
func (d *Doc) plotSweep() (*plot.Plot, error) {
	p := newPlot("G against "+d.Knob+", with 95% intervals", d.Knob, "G")
	var lines []string
	by := map[string][]Group{}
	least, most := math.Inf(1), 0.0
	for _, g := range d.Groups {
		if by[g.Line] == nil {
			lines = append(lines, g.Line)
		}
		by[g.Line] = append(by[g.Line], g)
		least, most = min(least, g.X), max(most, g.X)
	}
	for i, name := range lines {
		b := confidenceIntervals(by[name], func(_ int, g Group) float64 { return g.X })
		if err := addLine(p, name, i, b.XYs); err != nil {
			return nil, err
		}
		e, err := plotter.NewYErrorBars(b)
		if err != nil {
			return nil, err
		}
		e.Color = colours[i%len(colours)]
		p.Add(e)
	}
	if least > 0 && most/least >= 20 {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	p.Legend.Left, p.Legend.Top = true, false
	return p, nil
}

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// svg draws the plot as an SVG element.
func (p Plot) svg() (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.plot.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil // safe: the canvas escapes the text in it
}

// Save writes the plots as files of a format, "svg" or "png", into a directory.
func (d *Doc) Save(dir, format string) error {
	plots, err := d.Plots()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, p := range plots {
		var to io.WriterTo
		if format == "svg" {
			c := vgsvg.New(plotWidth, plotHeight)
			p.plot.Draw(draw.New(c))
			to = c
		} else {
			c := vgimg.New(plotWidth, plotHeight)
			p.plot.Draw(draw.New(c))
			to = vgimg.PngCanvas{Canvas: c}
		}
		f, err := os.Create(filepath.Join(dir, p.Name+"."+format))
		if err != nil {
			return err
		}
		if _, err = to.WriteTo(f); err == nil {
			err = f.Close()
		}
		if err != nil {
			return fmt.Errorf("%s: %w", f.Name(), err)
		}
	}
	return nil
}

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"estimate": func(e runner.Estimate) string {
		if e.N < 2 {
			return fmt.Sprintf("%.3f", e.Mean)
		}
		return fmt.Sprintf("%.3f (%.3f to %.3f)", e.Mean, e.Low, e.High)
	},
}).Parse(pageText))

// HTML writes the document as a page.
func (d *Doc) HTML(w io.Writer) error {
	plots, err := d.Plots()
	if err != nil {
		return err
	}
	var svgs []template.HTML
	for _, p := range plots {
		s, err := p.svg()
		if err != nil {
			return fmt.Errorf("%s: %w", p.Name, err)
		}
		svgs = append(svgs, s)
	}
	return pageTemplate.Execute(w, struct {
		*Doc
		Plots []template.HTML
	}{d, svgs})
}
