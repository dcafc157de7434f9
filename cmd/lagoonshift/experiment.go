package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonshift/lagoonshift/internal/experiment"
	"github.com/lagoonshift/lagoonshift/internal/experiment/dissemination"
)

// experimentFlags are the flags of "experiment run".
type experimentFlags struct {
	deployments []string
	cells       []string
	policies    []string
	firstSeed   uint64
	seeds       uint64
	workers     int
	rolePrice   float64
	plots       string
}

// keepRolePrices is the flag value that keeps the deployments' own prices of a
// role change.
const keepRolePrices = -1

func addExperiment(app *kingpin.Application, commands map[string]command) {
	clause := app.Command("experiment", "Compare policies in virtual time.")
	f := &experimentFlags{}
	run := clause.Command("run", "Run policies in cells and print a table.")
	run.Flag("deployment", "Only this deployment; may be repeated.").StringsVar(&f.deployments)
	run.Flag("cell", "Only this cell; may be repeated.").StringsVar(&f.cells)
	run.Flag("policy", "Only this policy; may be repeated.").StringsVar(&f.policies)
	run.Flag("first-seed", "First seed.").Default("1").Uint64Var(&f.firstSeed)
	run.Flag("seeds", "Number of seeds.").Default("5").Uint64Var(&f.seeds)
	run.Flag("workers", "Number of runs at the same time.").Default("4").IntVar(&f.workers)
	run.Flag("role-price", "Price of a role change in worth, instead of the deployment's.").Default("-1").Float64Var(&f.rolePrice)
	run.Flag("plots", "Folder for plots; without it none are drawn.").StringVar(&f.plots)
	commands["experiment run"] = f.run
	digests := clause.Command("digests", "Compare methods of distributing load digests.")
	o := dissemination.Options{Engines: 7}
	digests.Flag("nodes", "Number of nodes.").Default("400").IntVar(&o.Nodes)
	digests.Flag("zones", "Number of zones.").Default("10").IntVar(&o.Zones)
	digests.Flag("rounds", "Length of a run in rounds.").Default("120").IntVar(&o.Rounds)
	digests.Flag("seed", "Seed.").Default("1").Uint64Var(&o.Seed)
	commands["experiment digests"] = func(context.Context) error { return compareDigests(o) }
}

func (f *experimentFlags) run(ctx context.Context) error {
	o, err := f.options()
	if err != nil {
		return &settingsError{err: err}
	}
	rows, err := experiment.Run(ctx, o)
	if err != nil {
		return err
	}
	if err := experiment.WriteTable(os.Stdout, rows); err != nil || f.plots == "" {
		return err
	}
	return experiment.Plot(rows, f.plots)
}

// options returns the runs that the flags select. Deployments and cells of the
// target size, and variants of policies, run only if they are named.
func (f *experimentFlags) options() (experiment.Options, error) {
	o := experiment.Options{Workers: f.workers}
	for i := range f.seeds {
		o.Seeds = append(o.Seeds, f.firstSeed+i)
	}
	var err error
	deployments := []*experiment.Deployment{experiment.ReseatWorks(), experiment.TuiLane()}
	target := []*experiment.Deployment{experiment.TargetModel()}
	o.Deployments, err = selectNamed("deployment", f.deployments, deployments, target, func(d *experiment.Deployment) string { return d.Name })
	if err != nil {
		return o, err
	}
	o.Cells, err = selectNamed("cell", f.cells, experiment.Cells(), experiment.TargetCells(), func(c experiment.Cell) string { return c.Name })
	if err != nil {
		return o, err
	}
	o.Policies, err = selectNamed("policy", f.policies, experiment.Policies(), experiment.Variants(), func(p experiment.Policy) string { return p.Name })
	if f.rolePrice != keepRolePrices {
		for _, d := range o.Deployments {
			d.RolePrice = f.rolePrice
		}
	}
	return o, err
}

// selectNamed returns the items with the given names from defaults and extras, or
// all defaults if no name is given. An unknown name is an error.
func selectNamed[T any](kind string, names []string, defaults, extras []T, nameOf func(T) string) ([]T, error) {
	if len(names) == 0 {
		return defaults, nil
	}
	var known []string
	var out []T
	for _, item := range slices.Concat(defaults, extras) {
		known = append(known, nameOf(item))
		if slices.Contains(names, nameOf(item)) {
			out = append(out, item)
		}
	}
	for _, name := range names {
		if !slices.Contains(known, name) {
			return nil, fmt.Errorf("no %s %q, expected one of %s", kind, name, strings.Join(known, ", "))
		}
	}
	return out, nil
}

// compareDigests prints the cost and staleness of methods of distributing
// digests.
func compareDigests(o dissemination.Options) error {
	const vms = 7
	return dissemination.WriteTable(os.Stdout, []dissemination.Result{
		dissemination.Gossip(o, 0.01, 6, time.Second),
		dissemination.Gossip(o, 0.01, 10, time.Second),
		dissemination.Gossip(o, 0.05, 10, time.Second),
		dissemination.Gossip(o, 0.05, 6, 2*time.Second),
		dissemination.Gossip(o, 0.25, 10, time.Second),
		dissemination.Gossip(o, 0.99, 10, time.Second),
		dissemination.FanOut(o, vms, time.Second, 10*time.Second),
		dissemination.FanOut(o, vms, 2*time.Second, 20*time.Second),
		dissemination.FanOut(o, vms, time.Second, time.Second),
	})
}
