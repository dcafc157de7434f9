package main

import (
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonshift/lagoonshift/internal/experiment"
)

// experimentFlags select the runs of one experiment.
type experimentFlags struct {
	deployments []string
	cells       []string
	policies    []string
	firstSeed   uint64
	seeds       uint64
	workers     int
}

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
	commands["experiment run"] = f.run
}

func (f *experimentFlags) run(ctx context.Context) error {
	o := experiment.Options{Workers: f.workers}
	for _, d := range []*experiment.Deployment{experiment.ReseatWorks(), experiment.TuiLane()} {
		if selected(f.deployments, d.Name) {
			o.Deployments = append(o.Deployments, d)
		}
	}
	for _, c := range experiment.Cells() {
		if selected(f.cells, c.Name) {
			o.Cells = append(o.Cells, c)
		}
	}
	for _, p := range experiment.Policies() {
		if selected(f.policies, p.Name) {
			o.Policies = append(o.Policies, p)
		}
	}
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
	return experiment.WriteTable(os.Stdout, rows)
}

// selected reports whether a name was asked for; an empty list asks for all.
func selected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}
