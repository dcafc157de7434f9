package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/telemetry"
	"github.com/lagoonshift/lagoonshift/platform"
)

const (
	platformControl = "platform control"
	platformEntry   = "platform entry"
)

// reloadsOnHangup reports whether a command reloads its settings on SIGHUP
// instead of being ended by it.
func reloadsOnHangup(name string) bool {
	return name == platformControl || name == platformEntry
}

// platformFlags are the flags of processes that read their settings from a file
// that the platform provides.
type platformFlags struct {
	level string
}

func addPlatform(app *kingpin.Application, commands map[string]command) {
	flags := &platformFlags{}
	clause := app.Command("platform", "Run a process on the users' platform, with the settings file that "+platform.SettingsVariable+" names.")
	clause.Flag("log-level", "One of trace, debug, info, warn and error.").Default("info").EnumVar(&flags.level, "trace", "debug", "info", "warn", "error")
	control := clause.Command("control", "Run a control process, which serves the replicated state, operators and the directory.")
	var options platform.ControlOptions
	control.Flag("peer-listen", "IP:port at which to listen for other processes, if they reach the address in the settings through a proxy.").StringVar(&options.PeerListen)
	entry := clause.Command("entry", "Run an entry process, which serves callers' requests.")
	var network platform.EngineNetwork
	entry.Flag("engine-network", "FROM=TO, two networks of the same size: connect to engines of the first at their addresses in the second, if a translation of network addresses separates them.").SetValue(&network)
	var costAware string
	entry.Flag("cost-aware-placement", "Send requests to the servers at which the expected lateness is least, by learned costs and speeds: on, off, or auto, where the configuration or the settings call for it.").
		Envar("LAGOONSHIFT_COST_AWARE_PLACEMENT").Default(platform.PlacementAuto).EnumVar(&costAware, platform.PlacementAuto, platform.PlacementOn, platform.PlacementOff)
	commands[platformControl] = flags.run("control", func(ctx context.Context, log hclog.Logger) error {
		return platform.Control(ctx, options, log)
	})
	commands[platformEntry] = flags.run("entry", func(ctx context.Context, log hclog.Logger) error {
		return platform.Entry(ctx, platform.EntryOptions{Dial: network.Dial, CostAwarePlacement: costAware}, log)
	})
}

func (f *platformFlags) run(name string, process func(context.Context, hclog.Logger) error) command {
	return func(ctx context.Context) error {
		out := telemetry.NewBoundedWriter(os.Stdout)
		defer out.Close()
		return process(ctx, telemetry.NewServiceLogger(name, f.level, out))
	}
}
