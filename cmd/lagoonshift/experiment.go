package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonshift/lagoonshift/internal/experiment"
	"github.com/lagoonshift/lagoonshift/internal/experiment/spreading"
)

// experimentFlags select the runs of one experiment.
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

// noPrice leaves the deployments' own prices of a role change.
const noPrice = -1

func addExperiment(app *kingpin.Application, commands map[string]command) {
	clause := app.Command("experiment", "Measure the policies in virtual time.")
	f := &experimentFlags{}
	run := clause.Command("run", "Run policies in cells and print a table.")
	run.Flag("deployment", "Only this deployment; may be repeated.").StringsVar(&f.deployments)
	run.Flag("cell", "Only this cell; may be repeated.").StringsVar(&f.cells)
	run.Flag("policy", "Only this policy; may be repeated.").StringsVar(&f.policies)
	run.Flag("first-seed", "First seed.").Default("1").Uint64Var(&f.firstSeed)
	run.Flag("seeds", "Number of seeds.").Default("5").Uint64Var(&f.seeds)
	run.Flag("workers", "Runs at the same time.").Default("4").IntVar(&f.workers)
	run.Flag("role-price", "Price of a role change in worth, instead of the deployment's.").Default("-1").Float64Var(&f.rolePrice)
	run.Flag("plots", "Folder for plots; none draws none.").StringVar(&f.plots)
	commands["experiment run"] = f.run
	digests := clause.Command("digests", "Compare ways to spread load digests.")
	o := spreading.Options{Engines: 7}
	digests.Flag("nodes", "Number of nodes.").Default("400").IntVar(&o.Nodes)
	digests.Flag("zones", "Number of zones.").Default("10").IntVar(&o.Zones)
	digests.Flag("rounds", "Length of a run in rounds.").Default("120").IntVar(&o.Rounds)
	digests.Flag("seed", "Seed.").Default("1").Uint64Var(&o.Seed)
	commands["experiment digests"] = func(context.Context) error { return compareDigests(o) }
}

func (f *experimentFlags) run(ctx context.Context) error {
	o := experiment.Options{Workers: f.workers}
	o.Deployments = f.chosenDeployments()
	o.Cells = f.chosenCells()
	o.Policies = f.chosenPolicies()
	for i := range f.seeds {
		o.Seeds = append(o.Seeds, f.firstSeed+i)
	}
	if len(o.Deployments)*len(o.Cells)*len(o.Policies) == 0 {
		return &settingsError{err: fmt.Errorf("no deployment, cell or policy has the given name")}
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

// chosenDeployments returns the users' deployments, or those that are named.
func (f *experimentFlags) chosenDeployments() []*experiment.Deployment {
	all := []*experiment.Deployment{experiment.ReseatWorks(), experiment.TuiLane()}
	if slices.Contains(f.deployments, experiment.TargetModel().Name) {
		all = append(all, experiment.TargetModel())
	}
	var out []*experiment.Deployment
	for _, d := range all {
		if !selected(f.deployments, d.Name) {
			continue
		}
		if f.rolePrice != noPrice {
			d.RolePrice = f.rolePrice
		}
		out = append(out, d)
	}
	return out
}

// chosenCells returns the cells, or those that are named; the cells for the
// target size only run when they are named.
func (f *experimentFlags) chosenCells() []experiment.Cell {
	var out []experiment.Cell
	for _, c := range experiment.Cells() {
		if selected(f.cells, c.Name) {
			out = append(out, c)
		}
	}
	for _, c := range experiment.TargetCells() {
		if slices.Contains(f.cells, c.Name) {
			out = append(out, c)
		}
	}
	return out
}

// chosenPolicies returns the policies, or those that are named; variants only
// run when they are named.
func (f *experimentFlags) chosenPolicies() []experiment.Policy {
	var out []experiment.Policy
	for _, p := range experiment.Policies() {
		if selected(f.policies, p.Name) {
			out = append(out, p)
		}
	}
	for _, p := range experiment.Variants() {
		if slices.Contains(f.policies, p.Name) {
			out = append(out, p)
		}
	}
	return out
}

// compareDigests prints the cost and staleness of some ways to spread digests.
func compareDigests(o spreading.Options) error {
	const vms = 7
	return spreading.WriteTable(os.Stdout, []spreading.Result{
		spreading.Gossip(o, 0.01, 6, time.Second),
		spreading.Gossip(o, 0.01, 10, time.Second),
		spreading.Gossip(o, 0.05, 10, time.Second),
		spreading.Gossip(o, 0.05, 6, 2*time.Second),
		spreading.Gossip(o, 0.25, 10, time.Second),
		spreading.Gossip(o, 0.99, 10, time.Second),
		spreading.FanOut(o, vms, time.Second, 10*time.Second),
		spreading.FanOut(o, vms, 2*time.Second, 20*time.Second),
		spreading.FanOut(o, vms, time.Second, time.Second),
	})
}

// selected reports whether a name was asked for; an empty list asks for all.
func selected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}
