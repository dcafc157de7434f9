package operatorcli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/state/orderbook"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/transport/adminhttp"
)

// pollInterval is the interval at which an awaited engine's status is read.
const pollInterval = time.Second

// ErrNoEngine means that no model has an engine of the given name.
var ErrNoEngine = errors.New("no such engine")

// Engines prints a table of the engines and their orders.
func Engines(ctx context.Context, client *adminhttp.Client, out io.Writer) error {
	answer, err := client.Engines(ctx)
	if err != nil {
		return fmt.Errorf("list engines: %w", err)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ENGINE\tMODEL\tROLE\tWANTED\tHOLDER\tDRAIN\tWORK\tORDER\tLAST RESULT")
	for _, e := range answer.Engines {
		role, work := "unreadable", "?"
		if e.State != nil {
			role = string(e.State.Role)
			work = fmt.Sprint(e.State.Queued + e.State.Running)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			e.Name, e.Model, role, orDash(string(e.WantedRole)), holder(&e), e.Drain, work, outstanding(&e), lastResult(&e))
	}
	return table.Flush()
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func holder(e *adminhttp.EngineStatus) string {
	if e.Holder == e.Authority {
		return string(e.Holder)
	}
	return fmt.Sprintf("%s, to %s", orDash(string(e.Holder)), e.Authority)
}

func outstanding(e *adminhttp.EngineStatus) string {
	o := e.Outstanding
	if o == nil {
		return "-"
	}
	text := fmt.Sprintf("%s fence %d %s", describeOrder(o), o.Fence, o.Phase)
	if e.Waiting != "" {
		text += ": " + e.Waiting
	}
	return text
}

func describeOrder(o *orderbook.Order) string {
	if o.Wanted.Kind == orderbook.ChangeRole {
		return "role " + string(o.Wanted.Role)
	}
	return fmt.Sprintf("%s %s %s", o.Wanted.Kind, o.Wanted.Name, o.Wanted.Version)
}

func lastResult(e *adminhttp.EngineStatus) string {
	if len(e.History) == 0 {
		return "-"
	}
	last := e.History[len(e.History)-1]
	text := fmt.Sprintf("%s fence %d %s", describeOrder(&last.Order), last.Order.Fence, last.Outcome)
	if last.Detail != "" {
		text += ": " + last.Detail
	}
	return text
}

// EngineChange is a change of one field of an engine's settings.
type EngineChange struct {
	// Engine is the engine's name.
	Engine string
	// Field is the name of the field in the settings, and Value its new value; nil
	// removes the field.
	Field string
	Value any
}

// ChangeEngine changes one field of one engine and leaves everything else as it
// is. It fails with a conflict if the engine's subtree was changed concurrently.
func ChangeEngine(ctx context.Context, client *adminhttp.Client, out io.Writer, change EngineChange) error {
	current, err := client.Settings(ctx)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	edit, err := change.edit(&current)
	if err != nil {
		return err
	}
	request := adminhttp.ChangeRequest{Number: uint64(time.Now().UnixNano()), Edits: []adminhttp.EditRequest{edit}}
	answer, err := sendChange(ctx, &ApplyOptions{Client: client}, request)
	if err != nil {
		return err
	}
	if answer.Outcome != settings.Accepted {
		return fmt.Errorf("%s: %s: %s", answer.Outcome, answer.Path, answer.Reason)
	}
	_, err = fmt.Fprintf(out, "accepted as settings version %d\n", answer.Version)
	return err
}

// edit returns the edit of the subtree that holds the engine.
func (c *EngineChange) edit(current *adminhttp.SettingsAnswer) (adminhttp.EditRequest, error) {
	for path, subtree := range current.Subtrees {
		if !strings.HasPrefix(path, "models/") {
			continue
		}
		content, err := c.apply(subtree.Content)
		if errors.Is(err, ErrNoEngine) {
			continue
		}
		return adminhttp.EditRequest{Path: path, BaseVersion: subtree.Version, Content: content}, err
	}
	return adminhttp.EditRequest{}, fmt.Errorf("engine %s: %w", c.Engine, ErrNoEngine)
}

// apply returns a model's content with the change applied. It fails with
// ErrNoEngine if the model does not have the engine.
func (c *EngineChange) apply(content json.RawMessage) (json.RawMessage, error) {
	var model, engines, engine map[string]json.RawMessage
	if err := json.Unmarshal(content, &model); err != nil {
		return nil, fmt.Errorf("decode model: %w", err)
	}
	if err := json.Unmarshal(model["engines"], &engines); err != nil {
		return nil, fmt.Errorf("decode engines: %w", err)
	}
	if _, ok := engines[c.Engine]; !ok {
		return nil, ErrNoEngine
	}
	if err := json.Unmarshal(engines[c.Engine], &engine); err != nil {
		return nil, fmt.Errorf("decode engine %s: %w", c.Engine, err)
	}
	if err := setField(engine, c.Field, c.Value); err != nil {
		return nil, err
	}
	if err := setField(engines, c.Engine, engine); err != nil {
		return nil, err
	}
	if err := setField(model, "engines", engines); err != nil {
		return nil, err
	}
	return json.Marshal(model)
}

func setField(object map[string]json.RawMessage, name string, value any) error {
	if value == nil {
		delete(object, name)
		return nil
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	object[name] = encoded
	return nil
}

// AwaitDrained waits until the engine is drained.
func AwaitDrained(ctx context.Context, client *adminhttp.Client, out io.Writer, name string) error {
	return awaitEngine(ctx, client, name, func(e *adminhttp.EngineStatus) bool {
		fmt.Fprintf(out, "%s: %s\n", name, e.Drain)
		return e.Drain == adminhttp.Drained
	})
}

// AwaitHolder waits until the given system may send orders to the engine.
func AwaitHolder(ctx context.Context, client *adminhttp.Client, out io.Writer, name string, side settings.OrderAuthority) error {
	return awaitEngine(ctx, client, name, func(e *adminhttp.EngineStatus) bool {
		fmt.Fprintf(out, "%s: held by %s\n", name, orDash(string(e.Holder)))
		return e.Holder == side
	})
}

func awaitEngine(ctx context.Context, client *adminhttp.Client, name string, done func(*adminhttp.EngineStatus) bool) error {
	for {
		answer, err := client.Engines(ctx)
		if err != nil && !adminhttp.Retryable(err) {
			return fmt.Errorf("list engines: %w", err)
		}
		for _, e := range answer.Engines {
			if e.Name == name && done(&e) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for engine %s: %w", name, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}
