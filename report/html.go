package report

import (
	"bytes"
	"html/template"
	"image/color"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// share is one line of a plot over time.
type share struct {
	name string
	tint color.Color
	of   func(c Counts) float64
}

// percent returns a function that gives a part of the requests in percent.
func percent(part func(c Counts) int) func(c Counts) float64 {
	return func(c Counts) float64 { return c.share(part(c)) }
}

var (
	green  = color.RGBA{R: 30, G: 140, B: 60, A: 255}
	orange = color.RGBA{R: 220, G: 140, B: 20, A: 255}
	red    = color.RGBA{R: 200, G: 40, B: 40, A: 255}
	grey   = color.RGBA{R: 110, G: 110, B: 110, A: 255}
	blue   = color.RGBA{R: 40, G: 80, B: 190, A: 255}
)

var shares = []share{
	{"in time", green, percent(func(c Counts) int { return c.InTime })},
	{"late", orange, percent(func(c Counts) int { return c.Late })},
	{"refused", red, percent(func(c Counts) int { return c.Refused })},
	{"failed", grey, percent(func(c Counts) int { return c.Failed })},
	{"returns", blue, percent(func(c Counts) int { return c.Returns })},
}

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>coralstair report</title>
<style>body{font-family:sans-serif;margin:2em}pre{overflow:auto}svg{max-width:100%;height:auto}</style></head><body>
<h1>coralstair report</h1>
{{range .Plots}}<h2>{{.Title}}</h2>
{{.SVG}}
{{end}}<h2>Tables</h2>
<pre>{{.Text}}</pre>
</body></html>
`))

// drawn is a plot on the page.
type drawn struct {
	Title string
	SVG   template.HTML
}

// HTML writes the report as one page that needs no other file.
func (r *Report) HTML(to io.Writer) error {
	var plots []drawn
	over := []struct {
		title string
		at    func(slot int64) Counts
	}{{"All tries, percent", r.at}}
	for _, name := range slices.Sorted(maps.Keys(r.routes)) {
		over = append(over, struct {
			title string
			at    func(slot int64) Counts
		}{"Route " + name + ", percent", func(slot int64) Counts {
			if c := r.slots[slot][name]; c != nil {
				return *c
			}
			return Counts{}
		}})
	}
	for _, o := range over {
		svg, err := r.plot(o.at)
		if err != nil {
			return err
		}
		plots = append(plots, drawn{o.title, svg})
	}
	bands, err := r.plotVersions()
	if err != nil {
		return err
	}
	plots = append(plots, drawn{"Versions: aimed at, held, run (seconds from the first line)", bands})
	var text strings.Builder
	if err := r.Text(&text); err != nil {
		return err
	}
	return page.Execute(to, struct {
		Plots []drawn
		Text  string
	}{plots, text.String()})
}

// since returns the seconds from the first slot to a time.
func (r *Report) since(at time.Time) float64 {
	times := r.times()
	if len(times) == 0 {
		return 0
	}
	return at.Sub(r.begins(times[0])).Seconds()
}

// plot draws shares over time.
func (r *Report) plot(at func(slot int64) Counts) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Min, p.Y.Max = 0, 100
	p.Legend.Top = true
	for _, s := range shares {
		var points plotter.XYs
		for _, slot := range r.times() {
			points = append(points, plotter.XY{X: r.since(r.begins(slot)), Y: s.of(at(slot))})
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = s.tint
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return svgOf(p)
}

// plotVersions draws from when to when boxes aimed at each version, held it and ran it.
func (r *Report) plotVersions() (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "version"
	for n, v := range r.versions {
		for i, b := range []struct {
			band
			tint color.Color
		}{{v.aimed, grey}, {v.held, orange}, {v.runs, green}} {
			if b.n == 0 {
				continue
			}
			y := float64(n) + float64(i)/4
			line, err := plotter.NewLine(plotter.XYs{{X: r.since(b.first), Y: y}, {X: r.since(b.last) + r.width.Seconds()/4, Y: y}})
			if err != nil {
				return "", err
			}
			line.Color, line.Width = b.tint, vg.Points(4)
			p.Add(line)
		}
	}
	return svgOf(p)
}

// svgOf draws a plot as an element of a page.
func svgOf(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", err
	}
	text := svg.String()
	if start := strings.Index(text, "<svg"); start > 0 {
		text = text[start:]
	}
	return template.HTML(text), nil
}
