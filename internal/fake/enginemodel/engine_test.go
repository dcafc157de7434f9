package enginemodel

import (
	"math"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// jobTimes records the times of a job's events; -1 means that an event did not occur.
type jobTimes struct {
	job               *Job
	first, done, fail float64
}

func newJob(prompt, output, priority int, prefix ...uint64) *jobTimes {
	r := &jobTimes{first: -1, done: -1, fail: -1}
	r.job = &Job{
		Prompt: prompt, Output: output, Priority: priority, Prefix: prefix,
		OnFirst: func(now float64) { r.first = now },
		OnDone:  func(now float64) { r.done = now },
		OnFail:  func(now float64) { r.fail = now },
	}
	return r
}

// runUntil advances an engine through all its events up to the time end.
func runUntil(e *Engine, end float64) {
	for next := e.Next(); next <= end; next = e.Next() {
		e.Advance(next)
	}
	e.Advance(end)
}

func checkTime(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6 {
		t.Errorf("%s at %g, want %g", what, got, want)
	}
}

func TestSingleJobTimes(t *testing.T) {
	table := speed.Default
	e := New(&table, settings.RoleDecode)
	r := newJob(5000, 101, 0)
	e.Submit(r.job)
	runUntil(e, 100)
	checkTime(t, "first token", r.first, table.Decode.Prefill(5000))
	checkTime(t, "end", r.done, r.first+100*table.Decode.Step(1))
}

func TestBatchSharesSteps(t *testing.T) {
	table := speed.Default
	e := New(&table, settings.RoleDecode)
	a, b := newJob(1, 1001, 0), newJob(1, 1001, 0)
	e.Submit(a.job)
	e.Submit(b.job)
	runUntil(e, 100)
	// While the second prompt is prefilled, the first job decodes at half speed.
	ahead := (b.first - a.first) / 2 / table.Decode.Step(1)
	checkTime(t, "first end", a.done, b.first+(1000-ahead)*table.Decode.Step(2))
	checkTime(t, "second end", b.done, a.done+ahead*table.Decode.Step(1))
	if a.done > b.done {
		t.Error("first job ended after the second")
	}
}

func TestPriorityGoesFirst(t *testing.T) {
	table := speed.Default
	e := New(&table, settings.RolePrefill)
	first, low, high := newJob(9000, 1, 0), newJob(9000, 1, 0), newJob(3000, 1, 9)
	e.Submit(first.job)
	e.Submit(low.job)
	e.Submit(high.job)
	runUntil(e, 10)
	checkTime(t, "end of the high-priority job", high.done, table.Prefill.Prefill(12000))
	checkTime(t, "end of the low-priority job", low.done, table.Prefill.Prefill(21000))
}

func TestCacheShortensPrefillAndReportsEvents(t *testing.T) {
	table := speed.Default
	e := New(&table, settings.RolePrefill)
	a := newJob(768, 1, 0, 1, 2)
	e.Submit(a.job)
	runUntil(e, 1)
	events := e.CacheEvents()
	if len(events) != 1 || events[0].Sequence != 1 || len(events[0].Added) != 2 {
		t.Fatalf("events %+v, want one that adds two blocks", events)
	}
	b := newJob(768, 1, 0, 1, 2)
	e.Submit(b.job)
	runUntil(e, 2)
	checkTime(t, "first token", b.first, 1+table.Prefill.Prefill(256))
}

func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newCache(2)
	c.insert([]uint64{1, 2})
	c.match([]uint64{1})
	if _, removed := c.insert([]uint64{3}); len(removed) != 1 || removed[0] != 2 {
		t.Errorf("removed %v, want [2]", removed)
	}
}

func TestRoleChangeStallsAndLosesNothing(t *testing.T) {
	table := speed.Default
	e := New(&table, settings.RolePrefill)
	r := newJob(30000, 1, 0)
	e.Submit(r.job)
	runUntil(e, 0.5)
	e.ChangeRole(settings.RoleDecode, 6)
	if !e.Report("m").Draining {
		t.Error("engine is not reported as draining during a role change")
	}
	runUntil(e, 100)
	checkTime(t, "end", r.done, 6.5+table.Decode.Prefill(15000))
}

func TestCrashInMidChange(t *testing.T) {
	table := speed.Default
	e := New(&table, settings.RolePrefill)
	r := newJob(30000, 1, 0)
	e.Submit(r.job)
	before := e.Report("m").Incarnation
	e.ChangeRole(settings.RoleDecode, 6)
	runUntil(e, 1)
	e.Crash()
	checkTime(t, "failure", r.fail, 1)
	if e.Submit(newJob(1, 1, 0).job) {
		t.Error("crashed engine accepted a job")
	}
	e.Restart()
	if e.Role() != settings.RolePrefill || e.ChangingRole() || e.Report("m").Incarnation == before {
		t.Error("engine has changed its role or kept its incarnation after the restart, want the old role and a new incarnation")
	}
}

func TestCancelFreesTheEngine(t *testing.T) {
	table := speed.Default
	e := New(&table, settings.RolePrefill)
	a, b, c := newJob(30000, 1, 0), newJob(30000, 1, 0), newJob(3000, 1, 0)
	for _, r := range []*jobTimes{a, b, c} {
		e.Submit(r.job)
	}
	e.Cancel(a.job)
	e.Cancel(b.job)
	runUntil(e, 10)
	checkTime(t, "end of the third job", c.done, table.Prefill.Prefill(3000))
	if a.done >= 0 || b.done >= 0 {
		t.Error("OnDone was called for a cancelled job")
	}
}
