package servicecall

import (
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
)

func wantRefusal(t *testing.T, err error, kind refusal.Kind, executed refusal.Executed) {
	t.Helper()
	var refused *refusal.Error
	if !errors.As(err, &refused) || refused.Kind != kind || refused.Executed != executed {
		t.Errorf("error is %v, want refusal %s with executed %s", err, kind, executed)
	}
}

// TestUnreachableServiceRefusedAsNotExecuted checks that a call whose backend
// servers all refuse the connection is refused as not executed, and that its key
// can be used again.
func TestUnreachableServiceRefusedAsNotExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(1)
		down := true
		sim.service = func(*rand.Rand) serviceFault {
			if down {
				return serviceRefusesConnection
			}
			return serviceWorks
		}
		h := &history{}
		e := sim.newEntry("first", entryFault{})
		if o := book(h, 0, e, "van-1"); o.executed != refusal.ExecutedNo {
			t.Errorf("call was refused with executed %q, want %q", o.executed, refusal.ExecutedNo)
		}
		down = false
		if o := book(h, 0, sim.newEntry("second", entryFault{}), "van-1"); o.receipt == "" {
			t.Errorf("repeat got %+v, want a receipt", o)
		}
	})
}

// TestLateAnswerIsStored checks that a late answer is stored and returned to a
// repeat, although the first caller was told that the outcome is unknown.
func TestLateAnswerIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(3)
		sim.service = func(*rand.Rand) serviceFault { return serviceLate }
		h := &history{}
		e := sim.newEntry("first", entryFault{})
		if o := book(h, 0, e, "van-1"); o.executed != refusal.ExecutedUnknown {
			t.Errorf("call got %+v, want a refusal with executed %q", o, refusal.ExecutedUnknown)
		}
		time.Sleep(time.Minute)
		if o := book(h, 0, sim.newEntry("second", entryFault{}), "van-1"); o.receipt == "" {
			t.Errorf("repeat got %+v, want the late receipt", o)
		}
		finish(sim)
	})
}

// TestLostAnswerRefusedImmediately checks that a caller whose answer is lost is
// told immediately that the outcome is unknown, not at its deadline.
func TestLostAnswerRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(1)
		sim.service = func(*rand.Rand) serviceFault { return serviceCrashes }
		start := time.Now()
		o := book(&history{}, 0, sim.newEntry("first", entryFault{}), "van-1")
		if waited := time.Since(start); o.executed != refusal.ExecutedUnknown || waited > callTimeout/4 {
			t.Errorf("call got %+v after %v, want executed unknown within a quarter of its timeout", o, waited)
		}
		finish(sim)
	})
}

// endedHolders reports every entry process as ended.
type endedHolders struct{}

// Gone implements Holders.
func (endedHolders) Gone(string, uint64) bool { return true }

// TestRepeatOfEndedEntryRefusedImmediately checks that a repeat of a call whose
// entry process has ended is refused immediately, with its outcome as unknown.
func TestRepeatOfEndedEntryRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(1)
		h := &history{}
		book(h, 0, sim.newEntry("first", entryFault{at: beforeSend}), "van-1")
		second := sim.newEntry("second", entryFault{})
		second.protocol.Holders = endedHolders{}
		start := time.Now()
		o := book(h, 0, second, "van-1")
		if waited := time.Since(start); o.executed != refusal.ExecutedUnknown || waited > callTimeout/4 {
			t.Errorf("repeat got %+v after %v, want executed unknown within a quarter of its timeout", o, waited)
		}
		finish(sim)
		if err := checkHistory(sim, h); err != nil {
			t.Error(err)
		}
	})
}

// TestLookupRecoversLostAnswer checks that a lost answer is recovered by a lookup
// at the service, for the caller and for repeats.
func TestLookupRecoversLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(1)
		sim.service = func(*rand.Rand) serviceFault { return serviceCrashes }
		sim.lookup = true
		first, second := sim.newEntry("first", entryFault{}), sim.newEntry("second", entryFault{})
		call := &Call{Service: "booking", Path: "collections", Method: "POST", Key: "van-1"}
		one, err := first.protocol.RunAtMostOnce(t.Context(), call, testRule)
		if err != nil || len(one.Body) == 0 {
			t.Errorf("call got %+v, %v, want an answer", one, err)
		}
		two, err := second.protocol.RunAtMostOnce(t.Context(), call, testRule)
		if err != nil || string(two.Body) != string(one.Body) || !two.Repeated {
			t.Errorf("repeat got %+v, %v, want the stored answer", two, err)
		}
		if len(sim.executions) != 1 {
			t.Errorf("call was executed %d times, want 1", len(sim.executions))
		}
		finish(sim)
	})
}
