package main

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonshift/lagoonshift/internal/operatorcli"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/transport/adminhttp"
)

// roleAuto is the command-line value that leaves an engine's role to the planner.
const roleAuto = "auto"

func addEngine(app *kingpin.Application, commands map[string]command) {
	engine := app.Command("engine", "Show engines and change their wanted state.")
	flags := &adminFlags{}
	flags.add(engine.Command("list", "List engines with their roles, drains and orders."))
	commands["engine list"] = flags.withClient(func(ctx context.Context, client *adminhttp.Client) error {
		return operatorcli.Engines(ctx, client, os.Stdout)
	})
	addEngineDrain(engine, commands)
	addEngineRole(engine, commands)
	addEngineHandOver(engine, commands)
}

func addEngineDrain(engine *kingpin.CmdClause, commands map[string]command) {
	clause := engine.Command("drain", "Send an engine no new work and let its running work finish.")
	flags := &adminFlags{}
	flags.add(clause)
	name := clause.Arg("name", "Name of the engine.").Required().String()
	undo := clause.Flag("undo", "End the drain.").Bool()
	wait := clause.Flag("wait", "Wait until the engine is drained.").Bool()
	timeout := timeoutFlag(clause)
	commands["engine drain"] = flags.withClient(func(ctx context.Context, client *adminhttp.Client) error {
		ctx, cancel := context.WithTimeout(ctx, *timeout)
		defer cancel()
		change := operatorcli.EngineChange{Engine: *name, Field: "drain", Value: !*undo}
		if err := operatorcli.ChangeEngine(ctx, client, os.Stdout, change); err != nil || *undo || !*wait {
			return err
		}
		return operatorcli.AwaitDrained(ctx, client, os.Stdout, *name)
	})
}

func addEngineRole(engine *kingpin.CmdClause, commands map[string]command) {
	clause := engine.Command("role", "Pin an engine's role, or leave it to the planner.")
	flags := &adminFlags{}
	flags.add(clause)
	name := clause.Arg("name", "Name of the engine.").Required().String()
	roles := []string{string(settings.RolePrefill), string(settings.RoleDecode), string(settings.RoleMixed), roleAuto}
	role := clause.Arg("role", "One of prefill, decode, mixed and auto.").Required().Enum(roles...)
	commands["engine role"] = flags.withClient(func(ctx context.Context, client *adminhttp.Client) error {
		change := operatorcli.EngineChange{Engine: *name, Field: "role"}
		if *role != roleAuto {
			change.Value = *role
		}
		return operatorcli.ChangeEngine(ctx, client, os.Stdout, change)
	})
}

func addEngineHandOver(engine *kingpin.CmdClause, commands map[string]command) {
	clause := engine.Command("hand-over", "Set which system may send orders to an engine.")
	flags := &adminFlags{}
	flags.add(clause)
	name := clause.Arg("name", "Name of the engine.").Required().String()
	sides := []string{string(settings.AuthorityLagoonshift), string(settings.AuthorityOldSystem)}
	side := clause.Arg("side", "lagoonshift or old-system.").Required().Enum(sides...)
	wait := clause.Flag("wait", "Wait until that system may send orders to the engine.").Bool()
	timeout := timeoutFlag(clause)
	commands["engine hand-over"] = flags.withClient(func(ctx context.Context, client *adminhttp.Client) error {
		ctx, cancel := context.WithTimeout(ctx, *timeout)
		defer cancel()
		change := operatorcli.EngineChange{Engine: *name, Field: "authority", Value: *side}
		if err := operatorcli.ChangeEngine(ctx, client, os.Stdout, change); err != nil || !*wait {
			return err
		}
		return operatorcli.AwaitHolder(ctx, client, os.Stdout, *name, settings.OrderAuthority(*side))
	})
}

func timeoutFlag(clause *kingpin.CmdClause) *time.Duration {
	return clause.Flag("timeout", "Longest time for the whole command, with its unit.").Default("10m").Duration()
}
