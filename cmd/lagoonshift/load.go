package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonshift/lagoonshift/internal/load"
	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

// loadFlags are the flags of "load run".
type loadFlags struct {
	mix      string
	json     string
	plot     string
	duration time.Duration
	// authority is the path of a PEM file; see addAuthority.
	authority string
}

func addLoad(app *kingpin.Application, commands map[string]command) {
	clause := app.Command("load", "Load and experiment tool.").Command("run", "Send a seeded mix of requests and report goodput.")
	flags := &loadFlags{}
	clause.Arg("file", "Mix file, JSON with comments.").Required().StringVar(&flags.mix)
	clause.Flag("json", "File for the report as JSON.").StringVar(&flags.json)
	clause.Flag("duration", "Time during which requests arrive, with its unit; overrides the mix file's duration.").DurationVar(&flags.duration)
	addAuthority(clause, &flags.authority)
	clause.Flag("plot", "File for a plot of goodput over time, such as out/run.png.").StringVar(&flags.plot)
	commands["load run"] = flags.run
}

func (f *loadFlags) run(ctx context.Context) error {
	mix, err := load.LoadMix(f.mix)
	if err != nil {
		return &settingsError{err: err}
	}
	if f.duration > 0 {
		mix.Duration = strictjson.Duration(f.duration)
	}
	transport, err := newTransport(f.authority)
	if err != nil {
		return err
	}
	runner := load.NewRunner(mix, load.NewHTTPClient(transport), os.Stderr)
	results := runner.Run(ctx)
	runs, err := runner.Executions(context.WithoutCancel(ctx))
	if err != nil {
		return err
	}
	report := load.NewReport(mix.Seed, results, runs)
	if len(mix.Engines) > 0 {
		report.AddOrders(runner.Orders(context.WithoutCancel(ctx)))
	}
	report.Print(os.Stdout)
	if err := f.writeJSON(report); err != nil {
		return err
	}
	if f.plot == "" {
		return nil
	}
	return load.Plot(results, f.plot)
}

func (f *loadFlags) writeJSON(report *load.Report) error {
	if f.json == "" {
		return nil
	}
	content, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(f.json, append(content, '\n'), 0o600); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
