package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/load"
	"github.com/lagoonshift/lagoonshift/internal/operatorcli"
	"github.com/lagoonshift/lagoonshift/internal/role/controlrole"
	"github.com/lagoonshift/lagoonshift/internal/role/entryrole"
	"github.com/lagoonshift/lagoonshift/internal/telemetry"
)

// settingsError marks an error in the settings or flags, for the exit code.
type settingsError struct {
	err error
}

func (e *settingsError) Error() string { return e.err.Error() }

func (e *settingsError) Unwrap() error { return e.err }

func exitCode(err error) int {
	var wrong *settingsError
	var file *operatorcli.FileError
	var check *operatorcli.CheckError
	if errors.As(err, &check) {
		return check.Code
	}
	if errors.As(err, &wrong) || errors.As(err, &file) {
		return exitUsage
	}
	return 1
}

// processFlags are the flags of every process of a deployment.
type processFlags struct {
	file string
	name string
}

func (f *processFlags) add(c *kingpin.CmdClause) {
	c.Flag("deployment", "Deployment file with the static settings.").Required().StringVar(&f.file)
	c.Flag("name", "Name of this process in the deployment file.").Required().StringVar(&f.name)
}

// runProcess runs a command for the named process of a deployment.
type runProcess func(ctx context.Context, d *deployment.Deployment, name string, log hclog.Logger) error

// findProcess returns an error unless the deployment has the named process.
type findProcess func(d *deployment.Deployment, name string) error

func findControl(d *deployment.Deployment, name string) error {
	_, err := d.FindControl(name)
	return err
}

func findEntry(d *deployment.Deployment, name string) error {
	_, err := d.FindEntry(name)
	return err
}

func (f *processFlags) run(find findProcess, run runProcess) command {
	return func(ctx context.Context) error {
		d, err := deployment.Load(f.file)
		if err != nil {
			return &settingsError{err: err}
		}
		if err := find(d, f.name); err != nil {
			return &settingsError{err: fmt.Errorf("%s: %w", f.file, err)}
		}
		return run(ctx, d, f.name, telemetry.NewLogger(f.name, d.Log.Level, d.Log.JSON))
	}
}

func addControl(app *kingpin.Application, commands map[string]command) {
	flags := &processFlags{}
	control := app.Command("control", "Run a control process.")
	flags.add(control)
	control.Command("run", "Run a control process; if its data folder is empty, it joins the others.").Default()
	commands["control run"] = flags.run(findControl, controlrole.Run)
	control.Command("init", "Create the data folder of the deployment's first control process.")
	commands["control init"] = flags.run(findControl, controlrole.Init)
}

func addEntry(app *kingpin.Application, commands map[string]command) {
	flags := &processFlags{}
	flags.add(app.Command("entry", "Run an entry process."))
	commands["entry"] = flags.run(findEntry, entryrole.Run)
}

// checkFlags are the flags of "check".
type checkFlags struct {
	file     string
	settings string
	mix      string
}

func addCheck(app *kingpin.Application, commands map[string]command) {
	flags := &checkFlags{}
	clause := app.Command("check", "Check a deployment file, and the files that go with it.")
	clause.Arg("file", "Deployment file.").Required().StringVar(&flags.file)
	clause.Flag("settings", "Settings file to check as well, against the deployment's zones.").StringVar(&flags.settings)
	clause.Flag("mix", "Mix file of the load tool to check as well.").StringVar(&flags.mix)
	commands["check"] = flags.run
}

func (f *checkFlags) run(context.Context) error {
	d, err := deployment.Load(f.file)
	if err != nil {
		return &settingsError{err: err}
	}
	if f.settings != "" {
		if err := operatorcli.CheckFile(f.settings, f.file); err != nil {
			return err
		}
	}
	if f.mix != "" {
		if _, err := load.LoadMix(f.mix); err != nil {
			return &settingsError{err: err}
		}
	}
	fmt.Printf("%s: deployment %s, %d control and %d entry processes\n", f.file, d.Name, len(d.Control), len(d.Entries))
	return nil
}
