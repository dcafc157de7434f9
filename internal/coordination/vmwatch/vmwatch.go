// Package vmwatch copies the VM states that the cloud platform reports into
// the replicated state. A leaving VM thereby becomes part of the settings, so
// every entry that holds a settings lease receives it.
package vmwatch

import (
	"context"
	"fmt"

	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// Submitter commits state commands.
type Submitter interface {
	Submit(ctx context.Context, command *store.Command) (store.Result, error)
}

// Watcher polls the platform's VM list. It runs on the control leader.
type Watcher struct {
	// List returns the platform's VM list. The list may be out of date, and a
	// VM's reported state may flap.
	List func(ctx context.Context) ([]member.Observation, error)
	// NewObservations returns the observations that would change the
	// replicated state.
	NewObservations func([]member.Observation) []member.Observation
	Control         Submitter
}

// Poll reads the list once and commits the observations that would change
// the replicated state.
func (w *Watcher) Poll(ctx context.Context) error {
	observed, err := w.List(ctx)
	if err != nil {
		return fmt.Errorf("list VMs: %w", err)
	}
	changed := w.NewObservations(observed)
	if len(changed) == 0 {
		return nil
	}
	if _, err := w.Control.Submit(ctx, &store.Command{Observe: changed}); err != nil {
		return fmt.Errorf("commit VM observations: %w", err)
	}
	return nil
}
