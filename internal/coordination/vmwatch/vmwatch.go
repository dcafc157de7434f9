// Package vmwatch brings the platform's list of leaving VMs into the
// replicated state, where the settings lease carries it to every entry.
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

// Watch reads the platform's list. The control leader runs it.
type Watch struct {
	// List returns the platform's list, which may lag and flap.
	List func(ctx context.Context) ([]member.Observation, error)
	// News returns the observations that would change the state.
	News    func([]member.Observation) []member.Observation
	Control Submitter
}

// Round reads the list once and commits what is new in it.
func (w *Watch) Round(ctx context.Context) error {
	seen, err := w.List(ctx)
	if err != nil {
		return fmt.Errorf("list VMs: %w", err)
	}
	news := w.News(seen)
	if len(news) == 0 {
		return nil
	}
	if _, err := w.Control.Submit(ctx, &store.Command{Observe: news}); err != nil {
		return fmt.Errorf("commit leaving VMs: %w", err)
	}
	return nil
}
