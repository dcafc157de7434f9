package member

import (
	"context"
	"fmt"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// DeadAfter is the time without a lease renewal after which a member is removed
// from the member table. It is several lease durations long, so that a leader
// change or a short network partition does not remove live members.
const DeadAfter = 10 * time.Second

// Submitter commits state commands.
type Submitter interface {
	Submit(ctx context.Context, command *store.Command) (store.Result, error)
}

// Renewals records the lease renewals of members.
type Renewals interface {
	// Seen returns when a member last renewed its lease, and the settings
	// version that it had in force; ok is false if no renewal is known.
	Seen(name string, incarnation uint64) (at clock.Instant, version uint64, ok bool)
}

// Monitor removes members whose process is dead. It runs on the control leader.
type Monitor struct {
	clock    clock.Clock
	renewals Renewals
	control  Submitter
	// leadingSince is when this replica last became the leader.
	leadingSince clock.Instant
}

// NewMonitor returns a monitor for a replica that has just become the leader.
func NewMonitor(c clock.Clock, r Renewals, control Submitter) *Monitor {
	return &Monitor{clock: c, renewals: r, control: control, leadingSince: c.Now()}
}

// RemoveDead removes those of the given members that have not renewed their lease
// for DeadAfter.
func (m *Monitor) RemoveDead(ctx context.Context, members map[string]member.Member) error {
	for name, current := range members {
		if !m.isDead(current) {
			continue
		}
		remove := &store.Command{Retire: &member.Retire{Name: name, Incarnation: current.Incarnation, Gone: true}}
		if _, err := m.control.Submit(ctx, remove); err != nil {
			return fmt.Errorf("remove dead entry %s: %w", name, err)
		}
	}
	return nil
}

// isDead reports whether a member has not renewed its lease for DeadAfter. A
// leader that has received no renewal counts from when it became the leader.
func (m *Monitor) isDead(current member.Member) bool {
	last := m.leadingSince
	if at, _, ok := m.renewals.Seen(current.Name, current.Incarnation); ok && last.Before(at) {
		last = at
	}
	return m.clock.Now().Sub(last) > DeadAfter
}
