package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/transport/adminhttp"
)

func addLedger(app *kingpin.Application, commands map[string]command) {
	clause := app.Command("ledger", "Read the idempotency ledger.").Command("list", "List non-idempotent calls.")
	base := adminFlag(clause)
	unknown := clause.Flag("unknown", "Only calls whose outcome nobody knows.").Bool()
	commands["ledger list"] = func(ctx context.Context) error { return listLedger(ctx, *base, *unknown) }
}

func listLedger(ctx context.Context, base string, unknown bool) error {
	url := base + "/v1/ledger"
	if !unknown {
		url += "?all=true"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("make request to %s: %w", base, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("read ledger of %s: %w", base, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("read ledger of %s: status %d", base, response.StatusCode)
	}
	var answer adminhttp.LedgerAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return fmt.Errorf("decode ledger of %s: %w", base, err)
	}
	return printLedger(answer)
}

func printLedger(answer adminhttp.LedgerAnswer) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tCALL\tCUSTOMER\tKEY\tSTATE\tENTRY\tRESERVED AT")
	for _, record := range answer.Records {
		printRecord(table, record)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print ledger: %w", err)
	}
	fmt.Printf("%d shown of %d; %d pruned keys remembered\n", len(answer.Records), answer.Total, answer.Pruned)
	return nil
}

func printRecord(table *tabwriter.Writer, record ledger.Record) {
	r := record.Reserve
	at := time.UnixMilli(r.AtUnixMilli).Format(time.RFC3339)
	fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Key.Service, r.Call, r.Key.Customer, r.Key.IdempotencyKey, record.Outcome.State, r.Entry, at)
}
