package member

import (
	"context"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// fakeControl is a control group that knows one renewal, of entry-1, and
// records the names of the members that are removed.
type fakeControl struct {
	now     clock.Instant
	renewed clock.Instant
	removed []string
}

func (f *fakeControl) Now() clock.Instant { return f.now }

func (f *fakeControl) Wall() time.Time { return time.Time{} }

func (f *fakeControl) Seen(name string, _ uint64) (clock.Instant, uint64, bool) {
	return f.renewed, 1, name == "entry-1"
}

func (f *fakeControl) Submit(_ context.Context, command *store.Command) (store.Result, error) {
	f.removed = append(f.removed, command.Retire.Name)
	return store.Result{}, nil
}

func TestMonitorRemovesDeadMembers(t *testing.T) {
	f := &fakeControl{now: clock.Instant(time.Hour)}
	members := map[string]member.Member{"entry-1": {Name: "entry-1"}, "entry-2": {Name: "entry-2"}}
	monitor := NewMonitor(f, f, f)
	check := func(want int) {
		t.Helper()
		f.removed = nil
		if err := monitor.RemoveDead(t.Context(), members); err != nil || len(f.removed) != want {
			t.Errorf("removed %v with error %v, want %d members and no error", f.removed, err, want)
		}
	}
	// A new leader has not received any renewal yet.
	check(0)
	f.now = f.now.Add(DeadAfter)
	check(0)
	f.renewed = f.now
	f.now = f.now.Add(1)
	check(1)
	f.now = f.now.Add(DeadAfter)
	check(2)
}
