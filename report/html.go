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

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// series is one line of a plot over time.
type series struct {
	name      string
	lineColor color.Color
	value     func(c Counts) float64
}

// percentOf returns a function that computes part as a percentage of the requests.
func percentOf(part func(c Counts) int) func(c Counts) float64 {
	return func(c Counts) float64 { return c.percent(part(c)) }
}

var (
	green  = color.RGBA{R: 30, G: 140, B: 60, A: 255}
	orange = color.RGBA{R: 220, G: 140, B: 20, A: 255}
	red    = color.RGBA{R: 200, G: 40, B: 40, A: 255}
	grey   = color.RGBA{R: 110, G: 110, B: 110, A: 255}
	blue   = color.RGBA{R: 40, G: 80, B: 190, A: 255}
)

var allSeries = []series{
	{"in time", green, percentOf(func(c Counts) int { return c.InTime })},
	{"late", orange, percentOf(func(c Counts) int { return c.Late })},
	{"refused", red, percentOf(func(c Counts) int { return c.Refused })},
	{"failed", grey, percentOf(func(c Counts) int { return c.Failed })},
	{"returns", blue, percentOf(func(c Counts) int { return c.Retries })},
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>coralstair report</title>
<style>body{font-family:sans-serif;margin:2em}pre{overflow:auto}svg{max-width:100%;height:auto}</style></head><body>
<h1>coralstair report</h1>
{{range .Plots}}<h2>{{.Title}}</h2>
{{.SVG}}
{{end}}<h2>Tables</h2>
<pre>{{.Text}}</pre>
</body></html>
`))

type plotSection struct {
	Title string
	SVG   template.HTML
}

// HTML writes the report as a self-contained page.
func (r *Report) HTML(to io.Writer) error {
	var plots []plotSection
	charts := []struct {
		title  string
		counts func(slot int64) Counts
	}{{"All tries, percent", r.slotCounts}}
	for _, name := range slices.Sorted(maps.Keys(r.routes)) {
		charts = append(charts, struct {
			title  string
			counts func(slot int64) Counts
		}{"Route " + name + ", percent", func(slot int64) Counts {
			if c := r.slots[slot][name]; c != nil {
				return *c
			}
			return Counts{}
		}})
	}
	for _, c := range charts {
		svg, err := r.plot(c.counts)
		if err != nil {
			return err
		}
		plots = append(plots, plotSection{c.title, svg})
	}
	timeline, err := r.plotVersions()
	if err != nil {
		return err
	}
	plots = append(plots, plotSection{"Versions: aimed at, held, run (seconds from the first line)", timeline})
	var text strings.Builder
	if err := r.Text(&text); err != nil {
		return err
	}
	return pageTemplate.Execute(to, struct {
		Plots []plotSection
		Text  string
	}{plots, text.String()})
}

// secondsSinceStart returns the seconds from the first slot to a time.
func (r *Report) secondsSinceStart(at time.Time) float64 {
	times := r.sortedSlots()
	if len(times) == 0 {
		return 0
	}
	return at.Sub(r.slotStart(times[0])).Seconds()
}

// plot plots all series over time.
func (r *Report) plot(counts func(slot int64) Counts) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Min, p.Y.Max = 0, 100
	p.Legend.Top = true
	for _, s := range allSeries {
		var points plotter.XYs
		for _, slot := range r.sortedSlots() {
			points = append(points, plotter.XY{X: r.secondsSinceStart(r.slotStart(slot)), Y: s.value(counts(slot))})
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = s.lineColor
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return renderSVG(p)
}

// plotVersions plots the periods in which boxes targeted, held and ran each version.
func (r *Report) plotVersions() (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "version"
	for n, v := range r.versions {
		for i, b := range []struct {
			timeSpan
			tint color.Color
		}{{v.targeted, grey}, {v.held, orange}, {v.running, green}} {
			if b.n == 0 {
				continue
			}
			y := float64(n) + float64(i)/4
			line, err := plotter.NewLine(plotter.XYs{{X: r.secondsSinceStart(b.first), Y: y}, {X: r.secondsSinceStart(b.last) + r.width.Seconds()/4, Y: y}})
			if err != nil {
				return "", err
			}
			line.Color, line.Width = b.tint, vg.Points(4)
			p.Add(line)
		}
	}
	return renderSVG(p)
}

// renderSVG renders a plot as an svg element.
func renderSVG(p *plot.Plot) (template.HTML, error) {
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
