package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// manualClock is a clock that tests move.
type manualClock struct{ now clock.Instant }

func (c *manualClock) Now() clock.Instant { return c.now }

func (c *manualClock) Wall() time.Time {
	return time.UnixMilli(1_700_000_000_000).Add(time.Duration(c.now))
}

func (c *manualClock) advance(d time.Duration) { c.now = c.now.Add(d) }

// server returns a server of service s that started that long ago.
func (c *manualClock) server(version string, age time.Duration) fleet.Engine {
	return fleet.Engine{ID: version + age.String(), Service: "s", Version: version, StartedMs: c.Wall().Add(-age).UnixMilli()}
}

// servers returns servers of service s whose start isn't known.
func servers(versions ...string) []fleet.Engine {
	out := make([]fleet.Engine, 0, len(versions))
	for _, v := range versions {
		out = append(out, fleet.Engine{ID: v, Service: "s", Version: v})
	}
	return out
}

func find(m *Memory, request string) (version string, found bool) {
	return Resolve(m.Answer("s", StreamID("s", request)))
}

func wantFound(t *testing.T, m *Memory, request, want string) {
	t.Helper()
	if got, found := find(m, request); !found || got != want {
		t.Errorf("request %q: got version %q, found %t, want %q", request, got, found, want)
	}
}

func wantUnknown(t *testing.T, m *Memory, request string) {
	t.Helper()
	if got, found := find(m, request); found {
		t.Errorf("request %q: got version %q, want none", request, got)
	}
}

// TestIDsAreTheSameInAllProcesses pins an ID: processes of several builds exchange
// them.
func TestIDsAreTheSameInAllProcesses(t *testing.T) {
	if got := StreamID("seat-llm", "c036356f73c97293"); got != 0x7df7011ee21fbb97 {
		t.Errorf("got %#x, want %#x", uint64(got), uint64(0x7df7011ee21fbb97))
	}
	if StreamID("a", "bc") == StreamID("ab", "c") {
		t.Error("the ID doesn't separate the service from the request")
	}
	if got := StreamID("s", ""); got != 0 {
		t.Errorf("a request without a name has ID %d, want 0", got)
	}
}

// TestMixedVersionsNeedRecords guards against guesses: beside a second version, only
// recorded streams have a known origin.
func TestMixedVersionsNeedRecords(t *testing.T) {
	c := &manualClock{}
	m := NewMemory(c)
	m.SetEngines(servers("v1", "v2"))
	c.advance(10 * Retention)
	m.Record("s", "r1", "v1")
	m.Record("s", "r2", "v2")
	wantFound(t, m, "r1", "v1")
	wantFound(t, m, "r2", "v2")
	wantUnknown(t, m, "r3")
	wantUnknown(t, m, "")
	if got, found := Resolve(m.Answer("other", StreamID("other", "r1"))); found {
		t.Errorf("a stream of another service: got version %q, want none", got)
	}
}

// TestOneVersionForLongIsTheOrigin checks that every stream of a service with one
// version goes on, recorded or not, named or not.
func TestOneVersionForLongIsTheOrigin(t *testing.T) {
	c := &manualClock{}
	m := NewMemory(c)
	wantUnknown(t, m, "r")
	m.SetEngines(servers("v1"))
	c.advance(Retention - 1)
	wantUnknown(t, m, "r")
	c.advance(1)
	wantFound(t, m, "r", "v1")
	wantFound(t, m, "", "v1")
	if _, found := Resolve(m.Answer("unlisted", 0)); found {
		t.Error("the origin of a stream of an unlisted service is known")
	}
}

// TestFormerVersionCountsUntilItsStreamsEnded guards against the join of streams
// whose version has just left.
func TestFormerVersionCountsUntilItsStreamsEnded(t *testing.T) {
	c := &manualClock{}
	m := NewMemory(c)
	m.SetEngines(servers("v1"))
	c.advance(Retention)
	m.SetEngines(servers("v2"))
	wantUnknown(t, m, "r")
	c.advance(Retention - 1)
	m.SetEngines(servers("v2"))
	wantUnknown(t, m, "r")
	c.advance(1)
	wantFound(t, m, "r", "v2")
	m.SetEngines(nil)
	wantFound(t, m, "r", "v2")
	c.advance(Retention)
	wantUnknown(t, m, "r")
}

// TestStartsOfServersShowOneVersion checks what a process that has just started
// concludes from the first list.
func TestStartsOfServersShowOneVersion(t *testing.T) {
	const enough = Retention + startMargin
	for name, test := range map[string]struct {
		first func(*manualClock) []fleet.Engine
		want  bool
	}{
		"all started long ago": {func(c *manualClock) []fleet.Engine {
			return []fleet.Engine{c.server("v1", enough), c.server("v1", time.Hour)}
		}, true},
		"one started recently": {func(c *manualClock) []fleet.Engine {
			return []fleet.Engine{c.server("v1", enough-time.Millisecond), c.server("v1", time.Hour)}
		}, false},
		"a start isn't known":   {func(c *manualClock) []fleet.Engine { return append(servers("v1"), c.server("v1", time.Hour)) }, false},
		"a start in the future": {func(c *manualClock) []fleet.Engine { return []fleet.Engine{c.server("v1", -time.Hour)} }, false},
		"two versions": {func(c *manualClock) []fleet.Engine {
			return []fleet.Engine{c.server("v1", time.Hour), c.server("v2", time.Hour)}
		}, false},
		"one without a version": {func(c *manualClock) []fleet.Engine {
			return []fleet.Engine{c.server("v1", time.Hour), c.server("", time.Hour)}
		}, false},
	} {
		c := &manualClock{now: clock.Instant(time.Hour)}
		m := NewMemory(c)
		m.SetEngines(test.first(c))
		if _, found := find(m, "r"); found != test.want {
			t.Errorf("%s: origin known %t, want %t", name, found, test.want)
		}
	}
}

// TestRestartedServerIsNoRelease checks that a server that started recently doesn't
// end what is known of a service's only version.
func TestRestartedServerIsNoRelease(t *testing.T) {
	c := &manualClock{now: clock.Instant(time.Hour)}
	m := NewMemory(c)
	m.SetEngines([]fleet.Engine{c.server("v1", time.Hour)})
	m.SetEngines([]fleet.Engine{c.server("v1", time.Hour), c.server("v1", time.Second)})
	wantFound(t, m, "r", "v1")
	m.SetEngines([]fleet.Engine{c.server("v1", time.Hour), c.server("v2", time.Second)})
	wantUnknown(t, m, "r")
}

// TestConflictingRecordsAreUnknown checks that a stream with two recorded versions
// has no origin, whichever is recorded again.
func TestConflictingRecordsAreUnknown(t *testing.T) {
	c := &manualClock{}
	m := NewMemory(c)
	m.SetEngines(servers("v1"))
	c.advance(Retention)
	m.Record("s", "r", "v1")
	m.Record("s", "r", "v2")
	m.Record("s", "r", "v1")
	wantUnknown(t, m, "r")
	receiver := NewMemory(c)
	m.SetEngines(servers("v1", "v2"))
	receiver.Merge(m.Pending("receiver", true))
	wantUnknown(t, receiver, "r")
}

// TestRecordsAreForgotten checks that records last for Retention after they were
// last made, and that the oldest are forgotten when there are too many.
func TestRecordsAreForgotten(t *testing.T) {
	c := &manualClock{}
	m := NewMemory(c)
	m.SetEngines(servers("v1", "v2"))
	m.Record("s", "once", "v1")
	m.Record("s", "twice", "v1")
	c.advance(Retention / 2)
	m.Record("s", "twice", "v1")
	c.advance(Retention / 2)
	wantUnknown(t, m, "once")
	wantFound(t, m, "twice", "v1")
	for i := range maxRecords {
		m.Record("s", fmt.Sprint(i), "v2")
	}
	wantUnknown(t, m, "twice")
	wantFound(t, m, "0", "v2")
	if held := len(m.records.byID); held != maxRecords {
		t.Errorf("%d records held, want %d", held, maxRecords)
	}
	c.advance(Retention)
	wantUnknown(t, m, "0")
	if held := len(m.records.byID) + len(m.records.queue) + len(m.records.versions); held != 0 {
		t.Errorf("%d records and versions held after Retention, want none", held)
	}
}

func count(streams []Streams) (n int) {
	for _, s := range streams {
		n += len(s.IDs)
	}
	return n
}

// TestNothingIsReportedOfOneVersion checks that peers are told nothing while a
// service has one version, and everything once there is a second one.
func TestNothingIsReportedOfOneVersion(t *testing.T) {
	c := &manualClock{}
	m := NewMemory(c)
	m.SetEngines(servers("v1"))
	c.advance(Retention)
	for i := range 3 {
		if m.Record("s", fmt.Sprint(i), "v1") {
			t.Error("a record of a service with one version is to be reported")
		}
	}
	if got := m.Pending("peer", true); count(got) != 0 {
		t.Errorf("reported %v of a service with one version", got)
	}
	m.SetEngines(servers("v1", "v2"))
	if got := m.Pending("peer", false); count(got) != 3 {
		t.Errorf("reported %v after a second version was listed, want three streams", got)
	}
	if got := m.Pending("peer", false); count(got) != 0 {
		t.Errorf("reported %v again", got)
	}
	if !m.Record("s", "new", "v2") {
		t.Error("a record beside a second version is not to be reported")
	}
	if got := m.Pending("peer", false); count(got) != 1 {
		t.Errorf("reported %v, want the new stream", got)
	}
	if got := m.Pending("peer", true); count(got) != 4 {
		t.Errorf("reported %v over a new connection, want all four", got)
	}
}

// TestRepeatedRecordsAreReportedOnce checks that a stream that is recorded again
// before a report is in it once.
func TestRepeatedRecordsAreReportedOnce(t *testing.T) {
	m := NewMemory(&manualClock{})
	m.SetEngines(servers("v1", "v2"))
	for range 3 {
		m.Record("s", "r", "v1")
	}
	if got := m.Pending("peer", true); count(got) != 1 {
		t.Errorf("reported %v, want one stream", got)
	}
}

// TestSavedOriginsOutliveRestart checks that a restored memory knows the recorded
// streams, and that a saved version that is no longer listed counts until its
// streams have ended.
func TestSavedOriginsOutliveRestart(t *testing.T) {
	c := &manualClock{now: clock.Instant(time.Hour)}
	before := NewMemory(c)
	before.SetEngines([]fleet.Engine{c.server("v1", time.Hour), c.server("v2", time.Hour)})
	before.Record("s", "r", "v2")
	if before.Generation() == 0 {
		t.Error("there is nothing to save")
	}
	after := NewMemory(c)
	after.Restore(before.Save())
	wantFound(t, after, "r", "v2")
	after.SetEngines([]fleet.Engine{c.server("v1", time.Hour)})
	wantFound(t, after, "r", "v2")
	wantUnknown(t, after, "another")
	c.advance(Retention)
	wantFound(t, after, "another", "v1")

	only := NewMemory(c)
	generation := only.Generation()
	only.SetEngines(servers("v1"))
	c.advance(Retention)
	if only.Generation() == generation {
		t.Error("there is nothing to save once a service is settled")
	}
	restarted := NewMemory(c)
	restarted.Restore(only.Save())
	restarted.SetEngines([]fleet.Engine{c.server("v1", time.Second)})
	wantFound(t, restarted, "unseen", "v1")
	restarted.SetEngines([]fleet.Engine{c.server("v2", time.Second)})
	wantUnknown(t, restarted, "unseen")
}

// TestFirstStartKnowsAllVersions checks that streams of a new service with one
// version go on soon after the system has started for the first time, and only those.
func TestFirstStartKnowsAllVersions(t *testing.T) {
	c := &manualClock{}
	m := NewMemory(c)
	m.StartFirst()
	wantUnknown(t, m, "")
	m.SetEngines(servers("v1"))
	wantFound(t, m, "", "v1")
	m.SetEngines(servers("v2"))
	wantUnknown(t, m, "")
	c.advance(Retention)
	wantFound(t, m, "", "v2")
}

// TestReportsAreBounded checks that many streams are reported in several messages.
func TestReportsAreBounded(t *testing.T) {
	c := &manualClock{}
	m, receiver := NewMemory(c), NewMemory(c)
	m.SetEngines(servers("v1", "v2"))
	const streams = 2*maxReported + 1
	for i := range streams {
		m.Record("s", fmt.Sprint(i), "v1")
	}
	for _, want := range []int{maxReported, maxReported, 1, 0} {
		got := m.Pending("peer", false)
		if count(got) != want {
			t.Errorf("reported %d streams, want %d", count(got), want)
		}
		receiver.Merge(got)
	}
	wantFound(t, receiver, fmt.Sprint(streams-1), "v1")
}

// TestResolve checks how the answers of several processes are combined.
func TestResolve(t *testing.T) {
	recorded := func(v string) Answer {
		return Answer{Version: v, Recorded: true, Listed: []string{"v1", "v2"}, Covered: true}
	}
	listed := func(covered bool, versions ...string) Answer { return Answer{Listed: versions, Covered: covered} }
	for name, test := range map[string]struct {
		answers []Answer
		want    string
	}{
		"no answers":                             {nil, ""},
		"one record":                             {[]Answer{listed(true, "v1", "v2"), recorded("v2")}, "v2"},
		"a record of a version that has left":    {[]Answer{listed(true, "v1"), recorded("v2")}, "v2"},
		"equal records":                          {[]Answer{recorded("v2"), recorded("v2")}, "v2"},
		"different records":                      {[]Answer{recorded("v2"), recorded("v1")}, ""},
		"a conflict":                             {[]Answer{recorded("v2"), {Conflicting: true}}, ""},
		"one version for long":                   {[]Answer{listed(true, "v1")}, "v1"},
		"one version, not known for how long":    {[]Answer{listed(false, "v1"), listed(false, "v1")}, ""},
		"a replica that has just started":        {[]Answer{listed(true, "v1"), listed(false, "v1"), listed(false)}, "v1"},
		"a replica that has seen a newer list":   {[]Answer{listed(true, "v1"), listed(false, "v2")}, ""},
		"two versions":                           {[]Answer{listed(true, "v1", "v2")}, ""},
		"a service that isn't listed":            {[]Answer{listed(true)}, ""},
		"a service that isn't listed everywhere": {[]Answer{listed(true), listed(false, "v1")}, "v1"},
	} {
		got, found := Resolve(test.answers...)
		if got != test.want || found != (test.want != "") {
			t.Errorf("%s: got version %q, found %t, want %q", name, got, found, test.want)
		}
	}
}

// model is a deployment whose versions come and go while processes restart.
type model struct {
	clock    manualClock
	controls []*Memory
	// restartedAt is when a control replica last restarted.
	restartedAt clock.Instant
	entries     []*Memory
	views       [][]string
	// listed are the versions listed now.
	listed []string
	begun  []begunStream
}

type begunStream struct {
	request, version string
	at               clock.Instant
}

// streamLifetime is the time after its beginning within which a stream is taken up.
// Retention exceeds it by more than the lag of a list at an entry.
const (
	streamLifetime = Retention / 2
	maxLag         = Retention / 4
)

func (m *model) list() {
	for _, c := range m.controls {
		c.SetEngines(servers(m.listed...))
	}
}

// deliver gives an entry the newest list.
func (m *model) deliver(i int) {
	m.views[i] = slices.Clone(m.listed)
	m.entries[i].SetEngines(servers(m.listed...))
}

// TestNoStreamGetsAnotherVersion guards against a wrong version, whatever the order
// of lists, reports and restarts: versions come and go, entries restart at any time
// and hear of lists late, control replicas restart while another one keeps what it
// knows.
func TestNoStreamGetsAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{listed: []string{"v1"}}
		for range 2 {
			m.controls = append(m.controls, NewMemory(&m.clock))
		}
		for range 3 {
			m.entries = append(m.entries, NewMemory(&m.clock))
			m.views = append(m.views, nil)
		}
		m.list()
		m.clock.advance(2 * Retention)
		for i := range m.entries {
			m.deliver(i)
		}
		entry := func() int { return rapid.IntRange(0, len(m.entries)-1).Draw(t, "entry") }
		control := func() int { return rapid.IntRange(0, len(m.controls)-1).Draw(t, "control") }
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				m.clock.advance(time.Duration(rapid.Int64Range(1, int64(maxLag)).Draw(t, "time")))
				m.list()
				for i := range m.entries {
					m.deliver(i)
				}
			},
			"versions change": func(t *rapid.T) {
				m.listed = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"v1", "v2", "v3"}), 1, 2, rapid.ID[string]).Draw(t, "versions")
				m.list()
			},
			"an entry gets the list": func(*rapid.T) { m.deliver(entry()) },
			"a stream begins": func(t *rapid.T) {
				i := entry()
				if len(m.views[i]) == 0 {
					return
				}
				s := begunStream{request: fmt.Sprint(len(m.begun)), version: rapid.SampledFrom(m.views[i]).Draw(t, "version"), at: m.clock.now}
				m.entries[i].Record("s", s.request, s.version)
				m.begun = append(m.begun, s)
			},
			"an entry reports": func(t *rapid.T) {
				i, j := entry(), control()
				m.controls[j].Merge(m.entries[i].Pending(fmt.Sprint(j), rapid.Bool().Draw(t, "first")))
			},
			"an entry restarts": func(*rapid.T) {
				i := entry()
				m.entries[i], m.views[i] = NewMemory(&m.clock), nil
			},
			"all entries restart": func(*rapid.T) {
				for i := range m.entries {
					m.entries[i], m.views[i] = NewMemory(&m.clock), nil
				}
			},
			"a control replica restarts": func(*rapid.T) {
				if m.clock.now.Sub(m.restartedAt) < 2*Retention {
					return
				}
				j := control()
				m.controls[j], m.restartedAt = NewMemory(&m.clock), m.clock.now
				m.list()
			},
			"all control replicas restart with their files": func(*rapid.T) {
				for j, c := range m.controls {
					m.controls[j] = NewMemory(&m.clock)
					m.controls[j].Restore(c.Save())
				}
				m.list()
			},
			"": func(t *rapid.T) {
				for _, s := range m.begun {
					if m.clock.now.Sub(s.at) > streamLifetime {
						continue
					}
					id := StreamID("s", s.request)
					var answers []Answer
					for j, c := range m.controls {
						answers = append(answers, c.Answer("s", id))
						if got, found := Resolve(answers[j]); found && got != s.version {
							t.Fatalf("control replica %d alone names %s for stream %s, begun at %s", j, got, s.request, s.version)
						}
					}
					for i, e := range m.entries {
						if got, found := Resolve(append(slices.Clone(answers), e.Answer("s", id))...); found && got != s.version {
							t.Fatalf("entry %d takes stream %s, begun at %s, up at %s", i, s.request, s.version, got)
						}
					}
				}
			},
		})
	})
}

// TestReplicaWithOldFileHidesNoVersion guards against versions of an old file that keep the
// origins of a settled service unknown.
func TestReplicaWithOldFileHidesNoVersion(t *testing.T) {
	c := &manualClock{now: clock.Instant(time.Hour)}
	away, control, began, other := NewMemory(c), NewMemory(c), NewMemory(c), NewMemory(c)
	for _, m := range []*Memory{away, control, began, other} {
		m.SetEngines(servers("v1"))
	}
	c.advance(2 * Retention)
	file := away.Save()
	for _, m := range []*Memory{control, began, other} {
		m.SetEngines(servers("v2"))
	}
	c.advance(10 * Retention)
	back := NewMemory(c)
	back.Restore(file)
	back.SetEngines(servers("v2"))
	began.Record("s", "r", "v2")
	for _, m := range []*Memory{control, began, other} {
		m.SetEngines(servers("v2"))
	}
	id := StreamID("s", "r")
	if got, found := Resolve(other.Answer("s", id), control.Answer("s", id), back.Answer("s", id)); !found || got != "v2" {
		t.Errorf("got %q, found %t, want v2, the only version for %v", got, found, 10*Retention)
	}
}

// TestStartsOfServersKeepNoRecordBack guards against entries that take a service for settled
// by its servers' starts while control replicas remember a second version.
func TestStartsOfServersKeepNoRecordBack(t *testing.T) {
	c := &manualClock{now: clock.Instant(time.Hour)}
	control := NewMemory(c)
	control.SetEngines([]fleet.Engine{c.server("v1", time.Hour), c.server("v2", time.Hour)})
	c.advance(2 * Retention)
	withdrawn := []fleet.Engine{c.server("v1", 2*time.Hour)}
	control.SetEngines(withdrawn)
	c.advance(time.Second)
	began, other := NewMemory(c), NewMemory(c)
	began.SetEngines(withdrawn)
	other.SetEngines(withdrawn)
	began.Record("s", "new", "v1")
	control.Merge(began.Pending("control", true))
	id := StreamID("s", "new")
	if got, found := Resolve(other.Answer("s", id), control.Answer("s", id)); !found || got != "v1" {
		t.Errorf("got %q, found %t, want v1, which began the stream", got, found)
	}
}
