package experiment

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 34 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	barWidth   = 3 * vg.Millimeter
)

// Plot draws one SVG file per deployment with the worth that each policy answered
// in each cell, in percent of the bound. The folder must exist.
func Plot(rows []Row, folder string) error {
	byDeployment := make(map[string][]Row)
	for _, r := range rows {
		byDeployment[r.Deployment.Name] = append(byDeployment[r.Deployment.Name], r)
	}
	for name, part := range byDeployment {
		file := filepath.Join(folder, name+".svg")
		if err := plotBars(name, part, file); err != nil {
			return fmt.Errorf("plot %s: %w", file, err)
		}
	}
	return nil
}

func plotBars(title string, rows []Row, file string) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "answered worth, % of bound"
	p.Y.Min = 0
	p.Legend.Top = true
	cells, policies := labels(rows)
	for i, policy := range policies {
		bars, err := plotter.NewBarChart(heights(rows, policy), barWidth)
		if err != nil {
			return fmt.Errorf("draw bars of %s: %w", policy, err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-len(policies)+1) / 2
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(cells...)
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	return nil
}

// labels returns the names of the cells and policies in the order of the rows.
func labels(rows []Row) (cells, policies []string) {
	for _, r := range rows {
		if len(cells) == 0 || cells[len(cells)-1] != r.Cell.Name {
			cells = append(cells, r.Cell.Name)
		}
		if r.Cell.Name == rows[0].Cell.Name {
			policies = append(policies, r.Policy.Name)
		}
	}
	return cells, policies
}

func heights(rows []Row, policy string) plotter.Values {
	var out plotter.Values
	for i := range rows {
		if rows[i].Policy.Name == policy {
			out = append(out, rows[i].summarize(func(x *Result) float64 { return 100 * x.FractionOfBound() }).mean)
		}
	}
	return out
}
