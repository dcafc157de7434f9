// Command lagoonshift runs the processes of a lagoonshift deployment, the
// operators' commands, and the fake servers used in tests and trials.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonshift/lagoonshift/internal/hangup"
)

// exitUsage is the exit code for invalid flags and invalid settings.
const exitUsage = 2

// command runs one subcommand until it finishes or ctx ends.
type command func(ctx context.Context) error

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	app := kingpin.New("lagoonshift", "Serves language-model requests on a fixed fleet of engines.")
	app.HelpFlag.Short('h')
	commands := make(map[string]command)
	addControl(app, commands)
	addEntry(app, commands)
	addCheck(app, commands)
	addConfig(app, commands)
	addEngine(app, commands)
	addKeys(app, commands)
	addLedger(app, commands)
	addStatus(app, commands)
	addLoad(app, commands)
	addFake(app, commands)
	addExperiment(app, commands)
	addPlatform(app, commands)

	selected, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "lagoonshift:", err)
		os.Exit(exitUsage)
	}
	if !reloadsOnHangup(selected) {
		if err := hangup.RestoreDefault(); err != nil {
			fmt.Fprintln(os.Stderr, "lagoonshift:", err)
			os.Exit(1)
		}
	}
	if err := commands[selected](ctx); err != nil {
		fmt.Fprintln(os.Stderr, "lagoonshift:", err)
		os.Exit(exitCode(err))
	}
}
