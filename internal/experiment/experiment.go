package experiment

import (
	"context"
	"fmt"
	"math"

	"golang.org/x/sync/errgroup"
)

// Options selects the runs of Run.
type Options struct {
	Deployments []*Deployment
	Cells       []Cell
	Policies    []Policy
	Seeds       []uint64
	// Workers is the maximum number of concurrent runs.
	Workers int
}

// Row holds the results of one policy in one cell, in the order of the seeds.
type Row struct {
	Deployment *Deployment
	Cell       *Cell
	Policy     *Policy
	Results    []*Result
}

// Run runs every policy in every cell with every seed.
func Run(ctx context.Context, o Options) ([]Row, error) {
	var rows []Row
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(o.Workers)
	for _, d := range o.Deployments {
		for c := range o.Cells {
			first := len(rows)
			for p := range o.Policies {
				rows = append(rows, Row{Deployment: d, Cell: &o.Cells[c], Policy: &o.Policies[p], Results: make([]*Result, len(o.Seeds))})
			}
			cell := rows[first:len(rows):len(rows)]
			for i, seed := range o.Seeds {
				group.Go(func() error { return runCell(ctx, cell, i, seed) })
			}
		}
	}
	if err := group.Wait(); err != nil {
		return nil, fmt.Errorf("run experiments: %w", err)
	}
	return rows, nil
}

// runCell runs all policies of one cell on the same arrivals and stores the
// results at index at of each row.
func runCell(ctx context.Context, rows []Row, at int, seed uint64) error {
	d, c := rows[0].Deployment, rows[0].Cell
	arrivals := generateArrivals(d, c, seed)
	bound := Bound(d, c, arrivals)
	for i := range rows {
		if err := ctx.Err(); err != nil {
			return err
		}
		result := run(d, c, rows[i].Policy, arrivals, seed)
		result.Bound = bound
		rows[i].Results[at] = result
	}
	return nil
}

// summary is the mean and the sample standard deviation over the seeds.
type summary struct {
	mean   float64
	stddev float64
}

func (r *Row) summarize(value func(*Result) float64) summary {
	n := float64(len(r.Results))
	var s summary
	for _, result := range r.Results {
		s.mean += value(result) / n
	}
	for _, result := range r.Results {
		d := value(result) - s.mean
		s.stddev += d * d / max(n-1, 1)
	}
	s.stddev = math.Sqrt(s.stddev)
	return s
}
