package operatorcli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/coordination/inforce"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/strictjson"
	"github.com/lagoonshift/lagoonshift/internal/transport/adminhttp"
)

// resendInterval is the delay before a change whose answer was lost is sent
// again with the same number.
const resendInterval = 500 * time.Millisecond

// ApplyOptions configures Apply.
type ApplyOptions struct {
	Client *adminhttp.Client
	Out    io.Writer
	// File is the path of the settings file. Deployment is the path of the
	// deployment file whose zones it is checked against; it may be empty.
	File       string
	Deployment string
	// Number is the change number; zero derives one from the wall clock.
	Number uint64
	// Prune removes subtrees that are not in the file, except operators.
	Prune bool
	// DryRun only checks the file and prints what would change.
	DryRun bool
	// Wait makes Apply wait until the change is in force everywhere.
	Wait bool
	// Timeout bounds the whole command.
	Timeout time.Duration
}

// Apply changes the settings to the content of a file, in one change.
func Apply(ctx context.Context, o ApplyOptions) error {
	file, err := readFile(o.File, o.Deployment)
	if err != nil {
		return err
	}
	if o.Number == 0 {
		o.Number = uint64(time.Now().UnixNano())
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	current, err := o.Client.Settings(ctx)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	edits, err := file.edits(&current, o.Prune)
	if err != nil {
		return err
	}
	for _, e := range edits {
		fmt.Fprintf(o.Out, "%s: %s\n", e.Path, describeEdit(e))
	}
	if len(edits) == 0 {
		fmt.Fprintf(o.Out, "nothing to change at settings version %d\n", current.Version)
		return nil
	}
	if o.DryRun {
		return nil
	}
	answer, err := sendChange(ctx, &o, adminhttp.ChangeRequest{Number: o.Number, Edits: edits})
	if err != nil {
		return err
	}
	if answer.Outcome != settings.Accepted {
		return file.refusalError(o.Number, &answer)
	}
	fmt.Fprintf(o.Out, "accepted as settings version %d, change number %d\n", answer.Version, o.Number)
	if !o.Wait {
		return nil
	}
	return awaitInForce(ctx, &o, answer.Version)
}

func describeEdit(e adminhttp.EditRequest) string {
	switch {
	case e.BaseVersion == 0:
		return "add"
	case len(e.Content) == 0:
		return "remove"
	}
	return fmt.Sprintf("change from version %d", e.BaseVersion)
}

// edits returns the edits that turn the current settings into the file's. A
// subtree that changed after the file was printed is a conflict.
func (f *settingsFile) edits(current *adminhttp.SettingsAnswer, prune bool) ([]adminhttp.EditRequest, error) {
	var edits []adminhttp.EditRequest
	for _, path := range slices.Sorted(maps.Keys(f.subtrees)) {
		now := current.Subtrees[path]
		if sameJSON(now.Content, f.subtrees[path]) {
			continue
		}
		if f.version != 0 && now.Version > f.version {
			return nil, f.conflictError(path, &now)
		}
		edits = append(edits, adminhttp.EditRequest{Path: path, BaseVersion: now.Version, Content: f.subtrees[path]})
	}
	if !prune {
		return edits, nil
	}
	for _, path := range slices.Sorted(maps.Keys(current.Subtrees)) {
		_, kept := f.subtrees[path]
		if kept || strings.HasPrefix(path, settings.OperatorsGroup+"/") {
			continue
		}
		now := current.Subtrees[path]
		if f.version != 0 && now.Version > f.version {
			return nil, f.conflictError(path, &now)
		}
		edits = append(edits, adminhttp.EditRequest{Path: path, BaseVersion: now.Version})
	}
	return edits, nil
}

func (f *settingsFile) conflictError(path string, now *adminhttp.Subtree) error {
	return fmt.Errorf("conflict: %s:%d: /%s changed after the file was printed; now at version %d: %s",
		f.name, strictjson.Locate(f.content, "/"+path), path, now.Version, now.Content)
}

func sameJSON(a, b json.RawMessage) bool {
	var compactA, compactB bytes.Buffer
	if json.Compact(&compactA, a) != nil || json.Compact(&compactB, b) != nil {
		return false
	}
	return bytes.Equal(compactA.Bytes(), compactB.Bytes())
}

// sendChange sends the change until an answer arrives. The change number ensures
// that the change is applied only once.
func sendChange(ctx context.Context, o *ApplyOptions, request adminhttp.ChangeRequest) (adminhttp.ChangeAnswer, error) {
	for {
		answer, err := o.Client.Change(ctx, request)
		if err == nil || !adminhttp.Retryable(err) {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return answer, fmt.Errorf("change number %d has no answer yet; apply again with --number %d: %w", request.Number, request.Number, err)
		case <-time.After(resendInterval):
		}
	}
}

// refusalError returns the error that describes a refused change.
func (f *settingsFile) refusalError(number uint64, answer *adminhttp.ChangeAnswer) error {
	switch answer.Outcome {
	case settings.Invalid:
		return f.error(&strictjson.FieldError{Path: answer.Path, Reason: answer.Reason})
	case settings.Conflict:
		if answer.Current != nil {
			return fmt.Errorf("conflict: %s: %s; now at version %d: %s", answer.Path, answer.Reason, answer.Current.Version, answer.Current.Content)
		}
	case settings.NumberTaken:
		w := answer.Winner
		return fmt.Errorf("number-taken: change number %d: %s; the number belongs to a change of %d subtrees, the first of them %s, that was answered %s, version %d",
			number, answer.Reason, w.Edits, w.Path, w.Outcome, w.Version)
	}
	return fmt.Errorf("%s: %s: %s", answer.Outcome, answer.Path, answer.Reason)
}

// awaitInForce waits until the version is in force everywhere, for at most half
// of the remaining time, and prints the result.
func awaitInForce(ctx context.Context, o *ApplyOptions, version uint64) error {
	deadline, _ := ctx.Deadline()
	report, err := o.Client.WaitInForce(ctx, version, time.Until(deadline).Truncate(time.Millisecond)/2)
	if err != nil {
		return fmt.Errorf("wait for settings version %d: %w", version, err)
	}
	return printReport(o.Out, &report)
}

// printReport prints how far a version is in force. It returns an error if the
// version is not in force everywhere.
func printReport(out io.Writer, report *inforce.Report) error {
	fmt.Fprintf(out, "acknowledged by %d entries: %s\n", len(report.Acknowledged), strings.Join(report.Acknowledged, ", "))
	if len(report.Lapsed) > 0 {
		fmt.Fprintf(out, "lease lapsed without an acknowledgement: %s\n", strings.Join(report.Lapsed, ", "))
	}
	if !report.InForce {
		return fmt.Errorf("settings version %d is accepted but not in force everywhere yet; waiting for %s", report.Version, strings.Join(report.Waiting, ", "))
	}
	fmt.Fprintf(out, "settings version %d is in force everywhere\n", report.Version)
	return nil
}
