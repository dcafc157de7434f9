package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonshift/lagoonshift/internal/operatorcli"
	"github.com/lagoonshift/lagoonshift/internal/transport/adminhttp"
)

func addLedger(app *kingpin.Application, commands map[string]command) {
	clause := app.Command("ledger", "Read the idempotency ledger.").Command("list", "List non-idempotent calls.")
	flags := &adminFlags{}
	flags.add(clause)
	unknown := clause.Flag("unknown", "Only calls whose outcome is unknown.").Bool()
	commands["ledger list"] = flags.withClient(func(ctx context.Context, client *adminhttp.Client) error {
		return operatorcli.Ledger(ctx, client, os.Stdout, *unknown)
	})
}
