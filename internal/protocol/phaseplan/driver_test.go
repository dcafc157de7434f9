package phaseplan_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/phaseplan"
)

const quietPeriod = 3 * time.Second

// fakeEngines records the tokens of orders.
type fakeEngines struct {
	tokens []uint64
	// fencedBelow is the lowest token that is not fenced.
	fencedBelow uint64
	busy        bool
}

func (f *fakeEngines) Accepted(context.Context, fleet.Engine) (int64, bool, error) {
	return 0, f.busy, nil
}

func (f *fakeEngines) Order(_ context.Context, _ phaseplan.Change, token uint64, _ int64) (bool, error) {
	f.tokens = append(f.tokens, token)
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
		Log:         hclog.NewNullLogger(),
	})
	return l
}

var twoDecodeEngines = []fleet.Engine{{ID: "a", Phase: fleet.Decode}, {ID: "b", Phase: fleet.Decode}}

func TestNewLeaderWaitsOutQuietPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{}
		l := newLeader(f)
		l.Reconcile(t.Context(), twoDecodeEngines)
		time.Sleep(quietPeriod)
		l.Reconcile(t.Context(), twoDecodeEngines)
		if len(f.tokens) > 0 {
			t.Errorf("got orders %v while the previous leader's lease may last, want none", f.tokens)
		}
		time.Sleep(time.Second)
		l.Reconcile(t.Context(), twoDecodeEngines)
		if len(f.tokens) != 1 || f.tokens[0] != 1 {
			t.Errorf("got orders %v, want one with token 1", f.tokens)
		}
		l.term = 2 // another process led in between
		time.Sleep(time.Minute)
		l.Reconcile(t.Context(), twoDecodeEngines)
		if len(f.tokens) != 1 {
			t.Errorf("got orders %v right after authority was regained, want only the first", f.tokens)
		}
	})
}

func TestOrderIsNotRepeatedBeforeListUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{}
		l := newLeader(f)
		l.Reconcile(t.Context(), twoDecodeEngines)
		time.Sleep(2 * quietPeriod)
		for range 5 {
			l.Reconcile(t.Context(), twoDecodeEngines)
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
		l.Reconcile(t.Context(), twoDecodeEngines)
		for range 10 {
			time.Sleep(10 * time.Second)
			l.Reconcile(t.Context(), twoDecodeEngines)
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
		l.Reconcile(t.Context(), twoDecodeEngines)
		time.Sleep(2 * quietPeriod)
		l.Reconcile(t.Context(), twoDecodeEngines)
		if len(f.tokens) > 0 {
			t.Errorf("got orders %v to a busy engine, want none", f.tokens)
		}
	})
}
