package load

import (
	"fmt"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot draws the offered worth and the worth answered in time, per second of
// arrival. The extension of file selects the format, such as .png or .svg.
func Plot(results []Result, file string) error {
	p := plot.New()
	p.Title.Text = "Worth by second of arrival"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "worth per s"
	p.Y.Min = 0
	offered, good := worthBySecond(results)
	if err := plotutil.AddLines(p, "offered", offered, "answered in time", good); err != nil {
		return fmt.Errorf("draw plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}

func worthBySecond(results []Result) (offered, good plotter.XYs) {
	for i := range results {
		r := &results[i]
		second := int(r.Arrival.At / time.Second)
		for len(offered) <= second {
			at := plotter.XY{X: float64(len(offered))}
			offered = append(offered, at)
			good = append(good, at)
		}
		worth, _ := r.Arrival.worth()
		offered[second].Y += worth
		if r.inTime() {
			good[second].Y += worth
		}
	}
	return offered, good
}
