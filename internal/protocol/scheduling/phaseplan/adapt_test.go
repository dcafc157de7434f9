package phaseplan

import (
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// calm is the state of a fleet without trouble.
var calm = fleetState{engines: 100, prefill: 35}

// step returns the share after the counts have been seen for longer than
// stepInterval.
func (a *adaptiveShare) step(now *time.Time, p fleet.Pace) float64 {
	*now = now.Add(stepInterval)
	return a.next(*now, calm, p)
}

func TestShareFollowsWhatCallersGet(t *testing.T) {
	now := time.Now()
	a := &adaptiveShare{floor: 0.58}
	a.next(now, calm, fleet.Pace{Ended: 1000})
	for _, c := range []struct {
		name  string
		pace  fleet.Pace
		after time.Duration
		want  float64
	}{
		{"too few streams", fleet.Pace{Ended: 99, Late: 99}, stepInterval, 0.58},
		{"all in time", fleet.Pace{Ended: 1000, Late: 20}, stepInterval, 0.58},
		{"late prompts, idle decode", fleet.Pace{Ended: 1000, Late: 200}, stepInterval, 0.66},
		{"late prompts, busy decode", fleet.Pace{Ended: 1000, Late: 200, Tight: 50}, stepInterval, 0.66},
		{"late prompts, decode busy a moment ago", fleet.Pace{Ended: 1000, Late: 200}, stepInterval, 0.66},
		{"late prompts, decode idle for long", fleet.Pace{Ended: 1000, Late: 200, Tight: 1}, tightMemory, 0.74},
		{"overloaded decode", fleet.Pace{Ended: 1000, Late: 200, Tight: 300}, stepInterval, 0.66},
	} {
		now = now.Add(c.after)
		if got := a.next(now, calm, c.pace); got < c.want-0.001 || got > c.want+0.001 {
			t.Errorf("%s: got share %.3f, want %.3f", c.name, got, c.want)
		}
	}
	for range 10 {
		a.step(&now, fleet.Pace{Ended: 1000, Tight: 1000})
	}
	if a.share != a.floor {
		t.Errorf("share under overloaded decode: got %.3f, want the floor", a.share)
	}
	for range 10 {
		a.step(&now, fleet.Pace{Ended: 1000, Late: 1000})
	}
	if a.share != maxPrefillShare {
		t.Errorf("share under late prompts: got %.3f, want at most %.3f", a.share, maxPrefillShare)
	}
}

func TestShareChangesOnceInAnInterval(t *testing.T) {
	now := time.Now()
	a := &adaptiveShare{floor: 0.58}
	late := fleet.Pace{Ended: 1000, Late: 1000}
	a.next(now, calm, late)
	a.step(&now, late)
	if got := a.next(now.Add(stepInterval-time.Millisecond), calm, late); got > a.floor+shareStep {
		t.Errorf("got share %.3f right after a step, want one step", got)
	}
}

// TestNewLeaderKeepsShare checks that a leader that knows no counts yet starts
// from the engines' phases, within the floor and the maximum.
func TestNewLeaderKeepsShare(t *testing.T) {
	for prefill, want := range map[int]float64{20: 0.58, 70: 0.7, 100: maxPrefillShare} {
		state := fleetState{engines: 100, prefill: prefill}
		if got := (&adaptiveShare{floor: 0.58}).next(time.Now(), state, fleet.Pace{}); got != want {
			t.Errorf("%d of 100 engines run prefill: got share %.2f, want %.2f", prefill, got, want)
		}
	}
}

// TestShareStaysInTrouble checks that the share neither grows nor shrinks while an
// engine fails or after one was lost, until calmPeriod has passed.
func TestShareStaysInTrouble(t *testing.T) {
	late, tight := fleet.Pace{Ended: 1000, Late: 1000}, fleet.Pace{Ended: 1000, Tight: 1000}
	for name, disturbed := range map[string]fleetState{
		"failing": {engines: 100, prefill: 70, failing: true},
		"lost":    {engines: 99, prefill: 70},
	} {
		for _, c := range []struct {
			direction string
			pace      fleet.Pace
			grows     bool
		}{{"late prompts", late, true}, {"overloaded decode", tight, false}} {
			start := time.Now()
			a := &adaptiveShare{floor: 0.58}
			before := a.next(start, fleetState{engines: 100, prefill: 70}, c.pace)
			start = start.Add(firstStepDelay)
			settled := disturbed
			settled.failing = false
			if got := a.next(start, disturbed, c.pace); got != before {
				t.Errorf("%s, %s: got share %.2f in trouble, want %.2f", name, c.direction, got, before)
			}
			if got := a.next(start.Add(calmPeriod-time.Millisecond), settled, c.pace); got != before {
				t.Errorf("%s, %s: got share %.2f before the calm period is over, want %.2f", name, c.direction, got, before)
			}
			got := a.next(start.Add(calmPeriod), settled, c.pace)
			if c.grows && got <= before || !c.grows && got >= before {
				t.Errorf("%s, %s: got share %.2f once calm, want it changed from %.2f", name, c.direction, got, before)
			}
		}
	}
}
