package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/operatorcli"
	"github.com/lagoonshift/lagoonshift/internal/role/controlrole"
	"github.com/lagoonshift/lagoonshift/internal/role/entryrole"
	"github.com/lagoonshift/lagoonshift/internal/telemetry"
)

// settingsError marks an error in a settings file.
type settingsError struct {
	err error
}

func (e *settingsError) Error() string { return e.err.Error() }

func (e *settingsError) Unwrap() error { return e.err }

func exitCode(err error) int {
	var wrong *settingsError
	var file *operatorcli.FileError
	if errors.As(err, &wrong) || errors.As(err, &file) {
		return exitUsage
	}
	return 1
}

// processFlags are the flags that every process takes.
type processFlags struct {
	file string
	name string
}

func (f *processFlags) add(c *kingpin.CmdClause) {
	c.Flag("deployment", "Deployment file with the static settings.").Required().StringVar(&f.file)
	c.Flag("name", "Name of this process in the deployment file.").Required().StringVar(&f.name)
}

// role runs one process of a deployment.
type role func(ctx context.Context, d *deployment.Deployment, name string, log hclog.Logger) error

func (f *processFlags) run(r role) command {
	return func(ctx context.Context) error {
		d, err := deployment.Load(f.file)
		if err != nil {
			return &settingsError{err: err}
		}
		return r(ctx, d, f.name, telemetry.NewLogger(f.name, d.Log.Level, d.Log.JSON))
	}
}

func addControl(app *kingpin.Application, commands map[string]command) {
	flags := &processFlags{}
	control := app.Command("control", "Run a control process.")
	flags.add(control)
	control.Command("run", "Run a control process; with an empty data folder it joins the others.").Default()
	commands["control run"] = flags.run(controlrole.Run)
	control.Command("init", "Make the data folder of the deployment's first control process.")
	commands["control init"] = flags.run(controlrole.Init)
}

func addEntry(app *kingpin.Application, commands map[string]command) {
	flags := &processFlags{}
	flags.add(app.Command("entry", "Run an entry process."))
	commands["entry"] = flags.run(entryrole.Run)
}

func addCheck(app *kingpin.Application, commands map[string]command) {
	clause := app.Command("check", "Check a deployment file.")
	file := clause.Arg("file", "Deployment file.").Required().String()
	commands["check"] = func(context.Context) error {
		d, err := deployment.Load(*file)
		if err != nil {
			return &settingsError{err: err}
		}
		fmt.Printf("%s: deployment %s, %d control and %d entry processes\n", *file, d.Name, len(d.Control), len(d.Entries))
		return nil
	}
}
