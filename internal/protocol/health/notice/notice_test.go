package notice_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/notice"
)

var first = fleet.Engine{ID: "a", StartedMs: 1}

// TestDepartureEndsWithRestartOnly checks that a server that announced its
// departure stays out until an incarnation of it has started anew.
func TestDepartureEndsWithRestartOnly(t *testing.T) {
	b := notice.NewBoard(clock.NewRuntime())
	if !b.Accepts(first) {
		t.Error("a server without notices is not accepted")
	}
	if !b.Post(first, notice.Notice{Leaving: true}) || b.Post(first, notice.Notice{Leaving: true}) {
		t.Error("want the first announcement, and only that, to be news")
	}
	if b.Accepts(first) || !b.Leaving(first) {
		t.Error("a leaving server is accepted")
	}
	restarted := first
	restarted.StartedMs++
	if !b.Accepts(restarted) {
		t.Error("the next incarnation is not accepted")
	}
}

// TestPauseLastsAsLongAsAsked checks that a server gets no requests during its
// pause, that a shorter request doesn't cut it, and that absurd values are
// bounded.
func TestPauseLastsAsLongAsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := notice.NewBoard(clock.NewRuntime())
		b.Post(first, notice.Notice{Pause: 2500 * time.Millisecond})
		time.Sleep(time.Second)
		if b.Post(first, notice.Notice{Pause: time.Second}) {
			t.Error("a pause that ends earlier is news")
		}
		time.Sleep(1499 * time.Millisecond)
		if b.Accepts(first) || b.PausedFor(first) != time.Millisecond {
			t.Errorf("paused for %v more, want 1 ms", b.PausedFor(first))
		}
		time.Sleep(time.Millisecond)
		if !b.Accepts(first) {
			t.Error("the server is not accepted after its pause")
		}
		b.Post(first, notice.Notice{Pause: 1000 * time.Hour})
		if got := b.PausedFor(first); got != notice.MaxPause {
			t.Errorf("paused for %v, want the bound %v", got, notice.MaxPause)
		}
	})
}

func TestEarliestReturnNeedsAllToPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := notice.NewBoard(clock.NewRuntime())
		engines := []fleet.Engine{first, {ID: "b"}, {ID: "c", Leaving: true}}
		b.Post(first, notice.Notice{Pause: 5 * time.Second})
		if _, ok := b.EarliestReturn(engines); ok {
			t.Error("got a return time while a server accepts requests")
		}
		b.Post(engines[1], notice.Notice{Pause: 2 * time.Second})
		if wait, ok := b.EarliestReturn(engines); !ok || wait != 2*time.Second {
			t.Errorf("got %v, %v, want 2s", wait, ok)
		}
		if _, ok := b.EarliestReturn(engines[2:]); ok {
			t.Error("got a return time from leaving servers only")
		}
	})
}

// TestLeavingAmongKnowsIncarnations checks that only the incarnation that
// announced its departure is reported to other entries.
func TestLeavingAmongKnowsIncarnations(t *testing.T) {
	b := notice.NewBoard(clock.NewRuntime())
	b.Post(first, notice.Notice{Leaving: true})
	if got := b.LeavingAmong(fleet.NewView([]fleet.Engine{first, {ID: "b"}})); len(got) != 1 || got[0] != first.ID {
		t.Errorf("got %v, want only %s", got, first.ID)
	}
	if got := b.LeavingAmong(fleet.NewView([]fleet.Engine{{ID: first.ID, StartedMs: first.StartedMs + 1}})); len(got) > 0 {
		t.Errorf("got %v after a restart, want none", got)
	}
}
