package operatorcli

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/transport/adminhttp"
)

// Get prints the settings as a file that Apply accepts.
func Get(ctx context.Context, client *adminhttp.Client, out io.Writer) error {
	answer, err := client.Settings(ctx)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	subtrees := make(map[string]json.RawMessage)
	for path, subtree := range answer.Subtrees {
		subtrees[path] = subtree.Content
	}
	encoded, err := json.MarshalIndent(subtrees, "", "  ")
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	_, err = fmt.Fprintf(out, "%s%d\n%s\n", versionComment, answer.Version, encoded)
	return err
}

// History prints accepted changes, newest first.
func History(ctx context.Context, client *adminhttp.Client, out io.Writer, path string, limit int) error {
	answer, err := client.History(ctx, path, limit)
	if err != nil {
		return fmt.Errorf("read history: %w", err)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "VERSION\tWHEN\tOPERATOR\tNUMBER\tSUBTREES")
	for _, c := range answer.Changes {
		when := time.UnixMilli(c.AtUnixMilli).UTC().Format(time.RFC3339)
		paths := strings.Join(c.Paths, " ")
		if more := c.Edits - len(c.Paths); more > 0 {
			paths += fmt.Sprintf(" and %d more", more)
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%s\n", c.Version, when, c.Operator, c.Number, paths)
	}
	return table.Flush()
}

// Status prints the status of each control replica, and the entries as seen by
// the first replica that answers.
func Status(ctx context.Context, client *adminhttp.Client, out io.Writer) error {
	var answer *adminhttp.StatusAnswer
	var failed error
	for _, replica := range client.PerBaseURL() {
		got, err := replica.Status(ctx)
		if err != nil {
			failed = err
			fmt.Fprintf(out, "no answer: %v\n", err)
			continue
		}
		printReplica(out, &got.Replica)
		if answer == nil {
			answer = &got
		}
	}
	if answer == nil {
		return fmt.Errorf("read status: %w", failed)
	}
	return printEntries(out, answer)
}

func printReplica(out io.Writer, r *adminhttp.ReplicaStatus) {
	fmt.Fprintf(out, "replica %d of cluster %s: term %d, leader %d %s, voters %v, committed %d, applied %d\n",
		r.ID, r.ClusterID, r.Term, r.LeaderID, r.LeaderAddress, r.Voters, r.CommitIndex, r.AppliedIndex)
}

func printEntries(out io.Writer, answer *adminhttp.StatusAnswer) error {
	state := "not in force everywhere yet"
	if answer.Settings.InForce {
		state = "in force everywhere"
	}
	fmt.Fprintf(out, "settings version %d: %s\n", answer.Settings.Version, state)
	if len(answer.LeavingVMs) > 0 {
		fmt.Fprintf(out, "leaving VMs: %s\n", strings.Join(answer.LeavingVMs, ", "))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ENTRY\tZONE\tADDRESS\tSTATE\tSETTINGS\tLEASE")
	for _, m := range answer.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\n", m.Name, m.Zone, m.CallerAddress, m.State, m.SettingsVersion, formatRenewal(m.RenewedMillisAgo))
	}
	return table.Flush()
}

func formatRenewal(millisAgo int64) string {
	if millisAgo < 0 {
		return "not renewed here"
	}
	return fmt.Sprintf("renewed %s ago", time.Duration(millisAgo)*time.Millisecond)
}

// NewToken generates an operator's token and prints it with its hash.
func NewToken(out io.Writer) error {
	token := rand.Text()
	_, err := fmt.Fprintf(out, "token: %s\ntoken_sha256: %s\n", token, settings.HashToken(token))
	return err
}

// ReadToken reads an operator's token from a file. Its error is a *FileError.
func ReadToken(file string) (string, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return "", &FileError{err: fmt.Errorf("read token file: %w", err)}
	}
	token := strings.TrimSpace(string(content))
	if token == "" {
		return "", &FileError{err: fmt.Errorf("%s:1: expected a token", file)}
	}
	return token, nil
}
