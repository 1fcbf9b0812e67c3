package lab

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
	percent    = 100
)

// Plot writes a PNG file with the serving boxes and the origin's bytes over time for each experiment.
func Plot(path string, results []RolloutResult) error {
	p := plot.New()
	p.Title.Text = "Rollout: boxes serving, and copies drawn from the origin"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "% of boxes; % of one copy from the origin"
	p.Add(plotter.NewGrid())
	p.Legend.Top, p.Legend.Left = true, true
	for i, result := range results {
		serving := make(plotter.XYs, 0, len(result.Samples))
		origin := make(plotter.XYs, 0, len(result.Samples))
		for _, sample := range result.Samples {
			at := sample.At.Seconds()
			serving = append(serving, plotter.XY{X: at, Y: percent * float64(sample.Serving) / float64(result.Boxes)})
			origin = append(origin, plotter.XY{X: at, Y: percent * float64(sample.OriginBytes) / float64(result.SizeBytes)})
		}
		name := fmt.Sprintf("%s, prefer %s, seed %d", result.Policy, result.Prefer, result.Seed)
		if err := addLine(p, serving, 2*i, name+": serving"); err != nil {
			return err
		}
		if err := addLine(p, origin, 2*i+1, name+": origin"); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, path)
}

func addLine(p *plot.Plot, points plotter.XYs, style int, name string) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(style)
	line.Dashes = plotutil.Dashes(style % 2)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
