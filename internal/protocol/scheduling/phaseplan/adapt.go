package phaseplan

import (
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

const (
	// maxPrefillShare is the largest fraction of the engines that run prefill.
	maxPrefillShare = 0.75
	// shareStep is the fraction of the engines that change their phase at once.
	shareStep = 0.08
	// firstStepDelay is the time from the first counted streams to the first
	// step.
	firstStepDelay = 3 * time.Second
	// stepInterval is the minimum time between two steps: engines need several
	// seconds to change, and the counts of streams cover the seconds after that.
	stepInterval = 6 * time.Second
	// minCountedStreams is the number of recent streams below which the counts
	// decide nothing.
	minCountedStreams = 100
	// Decode has capacity to spare while at most spareTightFraction of the
	// streams come near the longest pause allowed, and did so for tightMemory:
	// the mix swings within that time. Decode is overloaded from
	// overloadTightFraction on.
	spareTightFraction    = 0.001
	overloadTightFraction = 0.2
	tightMemory           = 30 * time.Second
	// calmPeriod is how long no engine may have failed, left or joined before the
	// share changes: in trouble, streams are late for other reasons than the
	// share, and a change takes further engines away.
	calmPeriod = 10 * time.Second
	// Prefill limits the service if more than lateFraction of the streams begin
	// late.
	lateFraction = 0.05
)

// adaptiveShare is the fraction of a service's engines that run prefill. It
// starts at a floor and grows step by step while prompts are late although
// decode has capacity to spare. It is built for loads of long prompts with short
// answers, for which the floor leaves decode engines idle. The share depends on
// what callers get and not on measured rates, which are wrong under overload.
type adaptiveShare struct {
	floor float64
	// share is zero before the first call of next.
	share float64
	// mayStepAt is the earliest time of the next step; zero before streams were
	// first counted.
	mayStepAt time.Time
	// tightAt is when decode last had no capacity to spare.
	tightAt time.Time
	// disturbedAt is when an engine last failed, left or joined, and engines the
	// number of engines at the last call.
	disturbedAt time.Time
	engines     int
}

// fleetState is what the share depends on besides the streams.
type fleetState struct {
	// engines is the number of engines whose phase may change, and prefill the
	// number of those that run prefill now.
	engines, prefill int
	// failing is set while an engine fails requests, is missing or leaves.
	failing bool
}

// next returns the share to plan with. A new leader goes on from the phases that
// it finds, rather than undo what the last one did.
func (a *adaptiveShare) next(now time.Time, s fleetState, p fleet.Pace) float64 {
	if s.failing || a.engines != 0 && a.engines != s.engines {
		a.disturbedAt = now
	}
	a.engines = s.engines
	if a.share == 0 {
		current := float64(s.prefill) / float64(max(1, s.engines))
		a.share = min(max(current, a.floor), max(a.floor, maxPrefillShare))
	}
	if p.Ended < minCountedStreams {
		return a.share
	}
	if a.mayStepAt.IsZero() {
		a.mayStepAt = now.Add(firstStepDelay)
	}
	tight, late := float64(p.Tight)/float64(p.Ended), float64(p.Late)/float64(p.Ended)
	if tight > spareTightFraction {
		a.tightAt = now
	}
	if now.Before(a.mayStepAt) || now.Sub(a.disturbedAt) < calmPeriod {
		return a.share
	}
	changed := a.share
	switch {
	case tight >= overloadTightFraction:
		changed = max(a.floor, a.share-shareStep)
	case now.Sub(a.tightAt) >= tightMemory && late > lateFraction:
		changed = max(a.share, min(a.share+shareStep, maxPrefillShare))
	}
	if changed != a.share {
		a.share, a.mayStepAt = changed, now.Add(stepInterval)
	}
	return a.share
}
