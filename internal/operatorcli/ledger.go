package operatorcli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/transport/adminhttp"
)

// Ledger prints the calls in the idempotency ledger, or only those with an
// unknown outcome.
func Ledger(ctx context.Context, client *adminhttp.Client, out io.Writer, unknown bool) error {
	answer, err := client.Ledger(ctx, !unknown)
	if err != nil {
		return fmt.Errorf("read ledger: %w", err)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tCALL\tCUSTOMER\tKEY\tSTATE\tENTRY\tRESERVED AT")
	for _, record := range answer.Records {
		printRecord(table, record)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print ledger: %w", err)
	}
	_, err = fmt.Fprintf(out, "%d shown of %d; %d pruned keys remembered\n", len(answer.Records), answer.Total, answer.Pruned)
	return err
}

func printRecord(out io.Writer, record ledger.Record) {
	r := record.Reserve
	at := time.UnixMilli(r.AtUnixMilli).Format(time.RFC3339)
	fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Key.Service, r.Call, r.Key.Customer, r.Key.IdempotencyKey, record.Outcome.State, r.Entry, at)
}
