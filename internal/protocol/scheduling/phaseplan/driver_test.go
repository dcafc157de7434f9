package phaseplan_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/phaseplan"
)

const quietPeriod = 3 * time.Second

// fakeEngines records the tokens of orders.
type fakeEngines struct {
	tokens []uint64
	// fencedBelow is the lowest token that is not fenced.
	fencedBelow uint64
	busy        bool
	// withdrawn holds the sets of withdrawn engines in order; ordered is the
	// newest of them at the time of each order.
	withdrawn [][]string
	ordered   [][]string
}

func (f *fakeEngines) Accepted(context.Context, fleet.Engine) (int64, bool, error) {
	return 0, f.busy, nil
}

func (f *fakeEngines) Order(_ context.Context, _ phaseplan.Change, token uint64, _ int64) (bool, error) {
	f.tokens = append(f.tokens, token)
	f.ordered = append(f.ordered, f.withdrawn[len(f.withdrawn)-1])
	return token < f.fencedBelow, nil
}

// leader is a process whose authority the test sets; term 0 means none.
type leader struct {
	term uint64
	*phaseplan.Driver
}

func newLeader(f *fakeEngines) *leader {
	l := &leader{term: 1}
	l.Driver = phaseplan.NewDriver(phaseplan.DriverOptions{
		Plan:        phaseplan.DefaultPlan,
		Engines:     f,
		Authority:   func() (uint64, bool) { return l.term, l.term > 0 },
		QuietPeriod: quietPeriod,
		Load:        func() map[string]fleet.Load { return nil },
		Pace:        func() map[string]fleet.Pace { return nil },
		Withdraw:    func(engines []string) { f.withdrawn = append(f.withdrawn, engines) },
		Log:         hclog.NewNullLogger(),
	})
	return l
}

var twoDecodeEngines = []fleet.Engine{{ID: "a", Phase: fleet.Decode}, {ID: "b", Phase: fleet.Decode}}

func TestNewLeaderWaitsOutQuietPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{}
		l := newLeader(f)
		l.Reconcile(t.Context(), "llm", twoDecodeEngines)
		time.Sleep(quietPeriod)
		l.Reconcile(t.Context(), "llm", twoDecodeEngines)
		if len(f.tokens) > 0 {
			t.Errorf("got orders %v while the previous leader's lease may last, want none", f.tokens)
		}
		time.Sleep(time.Second)
		l.Reconcile(t.Context(), "llm", twoDecodeEngines)
		if len(f.tokens) != 1 || f.tokens[0] != 1 {
			t.Errorf("got orders %v, want one with token 1", f.tokens)
		}
		l.term = 2 // another process led in between
		time.Sleep(time.Minute)
		l.Reconcile(t.Context(), "llm", twoDecodeEngines)
		if len(f.tokens) != 1 {
			t.Errorf("got orders %v right after authority was regained, want only the first", f.tokens)
		}
	})
}

func TestOrderIsNotRepeatedBeforeListUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{}
		l := newLeader(f)
		l.Reconcile(t.Context(), "llm", twoDecodeEngines)
		time.Sleep(2 * quietPeriod)
		for range 5 {
			l.Reconcile(t.Context(), "llm", twoDecodeEngines)
			time.Sleep(time.Second)
		}
		if len(f.tokens) != 1 {
			t.Errorf("got orders %v, want one", f.tokens)
		}
	})
}

func TestFencedTermGivesNoMoreOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{fencedBelow: 5}
		l := newLeader(f)
		l.Reconcile(t.Context(), "llm", twoDecodeEngines)
		for range 10 {
			time.Sleep(10 * time.Second)
			l.Reconcile(t.Context(), "llm", twoDecodeEngines)
		}
		if len(f.tokens) != 1 {
			t.Errorf("got orders %v, want only the one that was fenced", f.tokens)
		}
	})
}

func TestBusyEngineGetsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{busy: true}
		l := newLeader(f)
		l.Reconcile(t.Context(), "llm", twoDecodeEngines)
		time.Sleep(2 * quietPeriod)
		l.Reconcile(t.Context(), "llm", twoDecodeEngines)
		if len(f.tokens) > 0 {
			t.Errorf("got orders %v to a busy engine, want none", f.tokens)
		}
	})
}

// TestEngineIsWithdrawnWhileItChanges checks that an engine gets no requests from
// before its order until the list shows its new phase, or until the order should
// have taken effect.
func TestEngineIsWithdrawnWhileItChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{}
		l := newLeader(f)
		withdrawn := func() []string { return f.withdrawn[len(f.withdrawn)-1] }
		l.Reconcile(t.Context(), "llm", twoDecodeEngines)
		time.Sleep(2 * quietPeriod)
		l.Reconcile(t.Context(), "llm", twoDecodeEngines)
		if len(f.ordered) != 1 || len(f.ordered[0]) != 1 {
			t.Fatalf("got orders with withdrawn engines %v, want one order to a withdrawn engine", f.ordered)
		}
		id := f.ordered[0][0]
		l.Reconcile(t.Context(), "llm", twoDecodeEngines)
		if got := withdrawn(); len(got) != 1 || got[0] != id {
			t.Errorf("withdrawn while the engine changes: got %v, want %s", got, id)
		}
		changed := slices.Clone(twoDecodeEngines)
		for i := range changed {
			if changed[i].ID == id {
				changed[i].Phase = fleet.Prefill
			}
		}
		l.Reconcile(t.Context(), "llm", changed)
		if got := withdrawn(); len(got) != 0 {
			t.Errorf("withdrawn once the list shows the new phase: got %v, want none", got)
		}
	})
}

// TestEngineReturnsIfItNeverChanges checks that an engine that never changes its
// phase is not withdrawn for longer than an order may take.
func TestEngineReturnsIfItNeverChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{}
		l := newLeader(f)
		l.Reconcile(t.Context(), "llm", twoDecodeEngines)
		time.Sleep(2 * quietPeriod)
		l.Reconcile(t.Context(), "llm", twoDecodeEngines)
		f.busy = true // no further order can be sent
		time.Sleep(11 * time.Second)
		l.Reconcile(t.Context(), "llm", twoDecodeEngines)
		if got := f.withdrawn[len(f.withdrawn)-1]; len(got) != 0 {
			t.Errorf("withdrawn after the order had no effect: got %v, want none", got)
		}
	})
}
