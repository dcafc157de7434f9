package cost_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/cost"
)

func runs(born int64, n int) (out []cost.Run) {
	for i := range n {
		out = append(out, cost.Run{ID: fmt.Sprint("e", i), Born: born, Group: "llm"})
	}
	return out
}

// TestSharedSpeedsFindSlowServers guards against slow servers that no entry detects, because
// each sees a server only a few times a minute: 85 entries that each see a server about once in
// 14 s must together know the slow quarter after a few seconds.
func TestSharedSpeedsFindSlowServers(t *testing.T) {
	const entries, servers = 85, 40
	shared := cost.NewSharedSpeeds()
	shared.SetServers(runs(1, servers))
	models := make([]*cost.Model, entries)
	for i := range models {
		models[i] = cost.NewModel()
		models[i].SetServers(runs(1, servers))
	}
	now := start
	for i := range 15 * 250 { // 15 s
		now = now.Add(4 * time.Millisecond)
		server := i % servers
		took := 65.0
		if server%4 == 0 {
			took *= 2
		}
		took *= []float64{0.7, 1, 1.4}[i%3]
		m := models[i*31%entries]
		m.ObservePrefill(now, "llm", fmt.Sprint("e", server), cost.Prefill{Read: 1000}, time.Duration(took*float64(time.Millisecond)))
		shared.Add(now, m.TakeMeasured())
		if i%25 == 0 {
			slowness := shared.Slowness(now)
			for _, m := range models {
				m.SetShared(slowness)
			}
		}
	}
	for i, m := range models {
		if got := m.Factor("llm", "e4") / m.Factor("llm", "e5"); math.Abs(got-2) > 0.3 {
			t.Errorf("entry %d takes e4 for %.2f times as slow as e5, want 2", i, got)
		}
	}

	// Another incarnation starts at the mean.
	next := runs(1, servers)
	next[4].Born = 2
	shared.SetServers(next)
	shared.Add(now, []cost.Measured{{Server: "e4", Born: 1, Weight: 10, LogSum: 10}})
	if got, ok := shared.Slowness(now)["e4"]; ok {
		t.Errorf("slowness %.2f of a server that has restarted, want none", got)
	}
	if got := shared.Slowness(now.Add(5 * time.Minute)); len(got) != 0 {
		t.Errorf("%d servers known after 5 minutes without reports, want none", len(got))
	}
}

// TestRestartedServerIsForgotten guards against an entry that takes a restarted server for as
// slow as its earlier incarnation, or reports what it measured of that one.
func TestRestartedServerIsForgotten(t *testing.T) {
	m := cost.NewModel()
	m.SetServers(runs(1, 2))
	for i := range 40 {
		m.ObserveStep(start.Add(time.Duration(i)*time.Millisecond), "llm", "e0", 16, 0, 0, 400*time.Millisecond)
	}
	if got := m.Factor("llm", "e0"); got < 2 {
		t.Fatalf("factor %.2f of a slow server, want above 2", got)
	}
	m.SetServers(runs(2, 2))
	if got, reported := m.Factor("llm", "e0"), m.TakeMeasured(); got != 1 || len(reported) != 0 {
		t.Errorf("factor %.2f and reports %v of a server that has restarted, want 1 and none", got, reported)
	}
}

// TestHostileMeasurementsAreBounded guards against a report that decides alone how slow a
// server is for minutes, or makes it infinitely slow.
func TestHostileMeasurementsAreBounded(t *testing.T) {
	shared := cost.NewSharedSpeeds()
	shared.SetServers(runs(1, 2))
	shared.Add(start, []cost.Measured{
		{Server: "e0", Born: 1, Weight: 1e30, LogSum: 1e38},
		{Server: "e0", Born: 1, Weight: math.NaN(), LogSum: 1},
		{Server: "e0", Born: 1, Weight: 1, LogSum: math.NaN()},
		{Server: "e0", Born: 1, Weight: -1, LogSum: 1},
		{Server: "e1", Born: 1, Weight: math.Inf(1), LogSum: math.Inf(-1)},
		{Server: "other", Born: 1, Weight: 1, LogSum: 1},
	})
	for id, slow := range shared.Slowness(start) {
		if !(slow >= 0.125 && slow <= 8) {
			t.Errorf("slowness %v of %s", slow, id)
		}
	}
}
