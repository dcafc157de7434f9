package usagelog

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
)

func decide(window uint64, report string) Command {
	return Command{Decide: &Decide{Window: window, Report: []byte(report), Appliers: []uint64{1, 2}}}
}

func delivered(window uint64) Command {
	return Command{Delivered: &Delivered{Window: window}}
}

// TestFirstDecisionWins guards against a window that is reported with two contents, such as
// by a leader that was cut off and its successor.
func TestFirstDecisionWins(t *testing.T) {
	l, first := new(Log).Apply(decide(7, "a"))
	l, second := l.Apply(decide(7, "b"))
	if d, found := l.Find(7); !found || string(d.Report) != "a" || !first.Accepted || second.Accepted {
		t.Errorf("after two decisions: %+v (found %t), results %+v and %+v, want the first one", d, found, first, second)
	}
	l, _ = l.Apply(delivered(7))
	if l, third := l.Apply(decide(7, "c")); third.Accepted || len(l.Undelivered()) != 0 {
		t.Errorf("a delivered window was decided again: %+v", l.Decisions)
	}
}

// TestDecisionsInAnyOrder guards against a window that can't be decided because a later one
// was, and against windows before the first one of the deployment.
func TestDecisionsInAnyOrder(t *testing.T) {
	l := new(Log)
	for _, window := range []uint64{5, 8, 6} {
		next, result := l.Apply(decide(window, fmt.Sprint(window)))
		if !result.Accepted {
			t.Errorf("window %d was not accepted", window)
		}
		l = next
	}
	var order []uint64
	for _, d := range l.Undelivered() {
		order = append(order, d.Window)
	}
	if !slices.Equal(order, []uint64{5, 6, 8}) || l.Decided(7) || !l.Decided(4) {
		t.Errorf("undelivered are %v, decided(7) %t, decided(4) %t; want 5, 6, 8, false and true", order, l.Decided(7), l.Decided(4))
	}
	if _, result := l.Apply(decide(4, "")); result.Accepted {
		t.Error("a window before the first one was accepted")
	}
}

// TestApplyLeavesTheOldLog guards against readers that see a log change under them.
func TestApplyLeavesTheOldLog(t *testing.T) {
	l, _ := new(Log).Apply(decide(1, "a"))
	next, _ := l.Apply(delivered(1))
	if d, _ := l.Find(1); d.Delivered || !bytes.Equal(d.Report, []byte("a")) {
		t.Errorf("the old log changed to %+v", d)
	}
	if d, _ := next.Find(1); !d.Delivered || d.Report != nil {
		t.Errorf("the new log has %+v, want it delivered and without its report", d)
	}
	if again, result := next.Apply(delivered(1)); result.Accepted || again != next {
		t.Error("a repeated mark changed the log")
	}
}

// TestHistoryIsBounded guards against a log that grows while nothing can be delivered, and
// against windows that leave it unnoticed.
func TestHistoryIsBounded(t *testing.T) {
	l := new(Log)
	var lost []uint64
	for window := uint64(1); window <= maxDecisions+3; window++ {
		var result Result
		if l, result = l.Apply(decide(window, "report")); window == 2 {
			l, _ = l.Apply(delivered(2))
		}
		lost = append(lost, result.Lost...)
	}
	if len(l.Decisions) != maxDecisions || l.First != 4 || !slices.Equal(lost, []uint64{1, 3}) {
		t.Errorf("%d decisions from window %d, lost %v; want %d from 4, lost 1 and 3", len(l.Decisions), l.First, lost, maxDecisions)
	}
	if _, result := l.Apply(decide(3, "again")); result.Accepted {
		t.Error("a window that left the history was decided again")
	}

	l = new(Log)
	large := string(bytes.Repeat([]byte("x"), 900<<10))
	for window := uint64(1); window <= 40; window++ {
		l, _ = l.Apply(decide(window, large))
	}
	total := 0
	for _, d := range l.Decisions {
		total += len(d.Report)
	}
	if total > maxReportBytes || len(l.Decisions) < 9 {
		t.Errorf("%d reports of %d bytes, want at most %d bytes", len(l.Decisions), total, maxReportBytes)
	}
}
