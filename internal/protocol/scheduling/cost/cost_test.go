package cost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/cost"
)

var start = time.Unix(1000, 0)

func within(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.IsNaN(got) || math.Abs(got-want) > tolerance*math.Abs(want) {
		t.Errorf("%s: got %.4g, want %.4g within %.0f%%", what, got, want, 100*tolerance)
	}
}

// TestOutputFollowsTurnedMix guards against costs that stay at what routes produced before
// the mix of requests turned 2 s ago, and against hints that are taken at their word: they are
// wrong by a factor of 4.
func TestOutputFollowsTurnedMix(t *testing.T) {
	m := cost.NewModel()
	random := rand.New(rand.NewPCG(1, 1))
	now := start
	k := cost.Kind{Route: "plan", Workspace: "a"}
	produce := func(factor float64, length time.Duration) {
		for end := now.Add(length); now.Before(end); now = now.Add(100 * time.Millisecond) {
			hint := 50 + random.IntN(400)
			m.ObserveOutput(now, "llm", k, hint, int(factor*float64(hint)*math.Exp(0.3*random.NormFloat64())), 3*time.Second)
		}
	}
	within(t, "before any output", m.Output(now, "llm", k, 200, 0).Median, 200, 0.2)
	produce(4, 10*time.Second)
	within(t, "hints too low", m.Output(now, "llm", k, 200, 0).Median, 800, 0.35)
	produce(0.25, 6*time.Second)
	within(t, "hints too high", m.Output(now, "llm", k, 200, 0).Median, 50, 0.6)
	if o := m.Output(now, "llm", k, 200, 60); o.Mean() > 60 || o.Quantile(3) > 60 {
		t.Errorf("expected %v tokens, want at most the 60 that the request allows", o)
	}
}

// TestOutputHasATail guards against an expectation that ignores outputs far above the hint.
func TestOutputHasATail(t *testing.T) {
	o := cost.Output{Median: 100, Spread: 1}
	if o.Mean() < 160 || o.Quantile(1.28) < 300 {
		t.Errorf("mean %.0f, nine in ten below %.0f, want above 160 and 300", o.Mean(), o.Quantile(1.28))
	}
}

// TestOutputStateIsBounded guards against state that grows with the number of routes and
// workspaces.
func TestOutputStateIsBounded(t *testing.T) {
	m := cost.NewModel()
	for i := range 20000 {
		m.ObserveOutput(start, "llm", cost.Kind{Route: "r", Workspace: fmt.Sprint(i)}, 100, 200, time.Second)
	}
	if got := m.Kinds("llm"); got > 1024 {
		t.Errorf("%d kinds are kept, want at most 1024", got)
	}
}

// TestPrefillSpeedIsLearned guards against predictions that stay at the prior, where engines
// prefill at a third of its rate, and against a waiting time that isn't distinguished from work.
func TestPrefillSpeedIsLearned(t *testing.T) {
	m := cost.NewModel()
	random := rand.New(rand.NewPCG(2, 2))
	actual := func(p cost.Prefill) float64 { return 30 + 0.06*p.Read + 0.03*p.Pending + 0.004*p.Fetched }
	now := start
	for range 60 {
		now = now.Add(200 * time.Millisecond)
		p := cost.Prefill{Read: 500 + float64(random.IntN(12000)), Pending: float64(random.IntN(20000))}
		if random.IntN(2) == 0 {
			p.Fetched = 5000
		}
		took := actual(p) * math.Exp(0.2*random.NormFloat64())
		m.ObservePrefill(now, "llm", fmt.Sprint("e", random.IntN(40)), p, time.Duration(took*float64(time.Millisecond)))
	}
	speeds := m.Speeds("llm")
	for _, p := range []cost.Prefill{{Read: 12000}, {Read: 3000, Pending: 15000}, {Read: 7000, Fetched: 5000}} {
		within(t, fmt.Sprintf("%+v", p), speeds.Prefill(p), actual(p), 0.3)
	}
}

// TestSlowServerIsKnown guards against a server three times slower than the others that looks
// like them, and against one that looks slow for long after it has recovered.
func TestSlowServerIsKnown(t *testing.T) {
	m := cost.NewModel()
	now := start
	run := func(slowdown float64, n int) {
		for i := range n {
			now = now.Add(25 * time.Millisecond)
			took := 20.0
			if i%20 == 0 {
				took *= slowdown
			}
			m.ObserveStep(now, "llm", fmt.Sprint("e", i%20), 16, 0, 0, time.Duration(took*float64(time.Millisecond)))
		}
	}
	run(3, 200)
	if slow, other := m.Factor("llm", "e0"), m.Factor("llm", "e7"); slow < 2 || other > 1.3 {
		t.Errorf("factor %.2f of the slow server and %.2f of another, want above 2 and about 1", slow, other)
	}
	run(1, 2400)
	if got := m.Factor("llm", "e0"); got > 1.4 {
		t.Errorf("factor %.2f a minute after the server has recovered, want about 1", got)
	}
	if got := m.Factor("llm", "unknown"); got != 1 {
		t.Errorf("factor %.2f of an unknown server, want 1", got)
	}
}

// TestStalledServerDoesNotSpoilSpeeds guards against one observation of a server that stalled
// for a minute that makes all servers look slow.
func TestStalledServerDoesNotSpoilSpeeds(t *testing.T) {
	m := cost.NewModel()
	before := m.Speeds("llm").StepAt().At(0, 16)
	m.ObserveStep(start, "llm", "e0", 16, 0, 0, time.Minute)
	if after := m.Speeds("llm").StepAt().At(0, 16); after > 2*before {
		t.Errorf("step of %.1f ms after one stall, %.1f before", after, before)
	}
}

// TestCallWorkIsLearned guards against plain servers whose work time stays at the prior.
func TestCallWorkIsLearned(t *testing.T) {
	m := cost.NewModel()
	now := start
	for i := range 100 {
		now = now.Add(50 * time.Millisecond)
		m.ObserveCall(now, "desk", fmt.Sprint("s", i%4), "book", 0, 80*time.Millisecond)
	}
	within(t, "work", m.Work("desk", "book", 20), 80, 0.15)
}

// TestExpectedLateness guards against costs that are flat below the objective, which would
// leave the choice among servers that are in time to chance, and against ones that don't grow
// with the lateness beyond it.
func TestExpectedLateness(t *testing.T) {
	o := cost.Within(600, 1)
	last := -1.0
	for _, at := range []float64{0, 100, 300, 600, 900, 1200, 2400} {
		late := o.Late(at)
		if late <= last {
			t.Errorf("lateness %.1f after %.0f ms, want more than before", late, at)
		}
		last = late
		if got, want := o.Slope(at+0.5), o.Late(at+1)-o.Late(at); math.Abs(got-want) > 0.01 {
			t.Errorf("slope %.3f after %.0f ms, want %.3f", got, at, want)
		}
	}
	if got := o.Late(2400); got != 1800 {
		t.Errorf("lateness %.0f after 2400 ms, want 1800", got)
	}
	if got := cost.Within(150, 0.5).Late(75); got != 0 {
		t.Errorf("lateness %.1f at half of the limit, with predictions off by half, want 0", got)
	}
	if got := (cost.Objective{}).Late(100); got != 0 {
		t.Errorf("lateness %.0f without an objective, want 0", got)
	}
}

// TestMissed guards against pauses that count as missed where there is no limit, and against
// a step in costs where a prediction passes the limit.
func TestMissed(t *testing.T) {
	limit := cost.Within(100, 0.5)
	for predicted, want := range map[float64]float64{0: 0, 94: 0, 97.5: 0.25, 100: 0.5, 105: 1, 300: 1} {
		if got := limit.Missed(predicted, 0.05); math.Abs(got-want) > 1e-9 {
			t.Errorf("predicted after %v ms of 100: got %v, want %v", predicted, got, want)
		}
	}
	if got := (cost.Objective{}).Missed(300, 0.05); got != 0 {
		t.Errorf("without a limit: got %v, want 0", got)
	}
}
