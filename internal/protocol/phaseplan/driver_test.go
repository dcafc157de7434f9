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

// fakeEngines records orders.
type fakeEngines struct {
	tokens []uint64
	// fencedBelow refuses lower tokens.
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

// leader is a process whose authority a test sets.
type leader struct {
	term uint64
	*phaseplan.Driver
}

func newLeader(f *fakeEngines) *leader {
	l := &leader{term: 1}
	l.Driver = phaseplan.NewDriver(phaseplan.DriverOptions{
		Plan:      phaseplan.DefaultPlan,
		Engines:   f,
		Authority: func() (uint64, bool) { return l.term, l.term > 0 },
		Silence:   quietPeriod,
		Load:      func() map[string]fleet.Load { return nil },
		Log:       hclog.NewNullLogger(),
	})
	return l
}

var twoDecodeEngines = []fleet.Engine{{ID: "a", Phase: fleet.Decode}, {ID: "b", Phase: fleet.Decode}}

func TestNewLeaderWaitsOutQuietPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{}
		l := newLeader(f)
		l.Round(t.Context(), twoDecodeEngines)
		time.Sleep(quietPeriod)
		l.Round(t.Context(), twoDecodeEngines)
		if len(f.tokens) > 0 {
			t.Errorf("orders %v within a lease of the one before", f.tokens)
		}
		time.Sleep(time.Second)
		l.Round(t.Context(), twoDecodeEngines)
		if len(f.tokens) != 1 || f.tokens[0] != 1 {
			t.Errorf("orders %v, want one with token 1", f.tokens)
		}
		l.term = 2 // led by somebody else in between
		time.Sleep(time.Minute)
		l.Round(t.Context(), twoDecodeEngines)
		if len(f.tokens) != 1 {
			t.Errorf("orders %v right after authority was regained", f.tokens)
		}
	})
}

func TestOrderIsNotRepeatedBeforeListUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{}
		l := newLeader(f)
		l.Round(t.Context(), twoDecodeEngines)
		time.Sleep(2 * quietPeriod)
		for range 5 {
			l.Round(t.Context(), twoDecodeEngines)
			time.Sleep(time.Second)
		}
		if len(f.tokens) != 1 {
			t.Errorf("orders %v, want one", f.tokens)
		}
	})
}

func TestFencedTermGivesNoMoreOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{fencedBelow: 5}
		l := newLeader(f)
		l.Round(t.Context(), twoDecodeEngines)
		for range 10 {
			time.Sleep(10 * time.Second)
			l.Round(t.Context(), twoDecodeEngines)
		}
		if len(f.tokens) != 1 {
			t.Errorf("orders %v after a refusal", f.tokens)
		}
	})
}

func TestBusyEngineGetsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{busy: true}
		l := newLeader(f)
		l.Round(t.Context(), twoDecodeEngines)
		time.Sleep(2 * quietPeriod)
		l.Round(t.Context(), twoDecodeEngines)
		if len(f.tokens) > 0 {
			t.Errorf("orders %v to a busy engine", f.tokens)
		}
	})
}
