package member

import (
	"context"
	"fmt"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// DeadAfter is how long a member may go without a renewal before it is taken
// out of the member table. It spans several lease durations, so that a change
// of leader or a short cut removes nobody.
const DeadAfter = 10 * time.Second

// Submitter commits state commands.
type Submitter interface {
	Submit(ctx context.Context, command *store.Command) (store.Result, error)
}

// Renewals tells when a member renewed last.
type Renewals interface {
	Seen(name string, incarnation uint64) (at clock.Instant, version uint64, ok bool)
}

// Monitor removes members whose process is gone. The control leader runs it.
type Monitor struct {
	clock    clock.Clock
	renewals Renewals
	control  Submitter
	// leading is since when this replica has been leading without a break.
	leadingSince clock.Instant
}

// NewMonitor returns a monitor for a replica that begins to lead now.
func NewMonitor(c clock.Clock, r Renewals, control Submitter) *Monitor {
	return &Monitor{clock: c, renewals: r, control: control, leadingSince: c.Now()}
}

// Check removes the given members that did not renew for DeadAfter.
func (m *Monitor) Check(ctx context.Context, members map[string]member.Member) error {
	for name, current := range members {
		if !m.isDead(current) {
			continue
		}
		gone := &store.Command{Retire: &member.Retire{Name: name, Incarnation: current.Incarnation, Gone: true}}
		if _, err := m.control.Submit(ctx, gone); err != nil {
			return fmt.Errorf("remove dead entry %s: %w", name, err)
		}
	}
	return nil
}

func (m *Monitor) isDead(current member.Member) bool {
	last := m.leadingSince
	if at, _, ok := m.renewals.Seen(current.Name, current.Incarnation); ok && last.Before(at) {
		last = at
	}
	return m.clock.Now().Sub(last) > DeadAfter
}
