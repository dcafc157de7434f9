package peergrpc

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/cost"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// TestEngineSpeedsReachEntries guards against entries that don't learn which engines are slow:
// also idle ones, which load digests don't hold; and against a restarted engine that keeps the
// speed of its earlier incarnation.
func TestEngineSpeedsReachEntries(t *testing.T) {
	h := newTestHub()
	engines := make([]fleet.Engine, 8)
	measured := make([]cost.Measured, 0, len(engines))
	for i := range engines {
		engines[i] = fleet.Engine{ID: fmt.Sprint("e", i), StartedMs: 1, Service: "llm", Phase: fleet.Prefill}
		m := cost.Measured{Server: engines[i].ID, Born: 1, Weight: 50}
		if i%4 == 0 {
			m.LogSum = 50 * math.Log(2)
		}
		measured = append(measured, m)
	}
	h.SetEngines(fleet.List{Engines: engines})
	w := &entryWatch{}
	h.handleReport(w, &peerpb.EntryReport{Name: "a", Incarnation: 1, TakesDigests: true, Number: 1})
	var list listReader
	reported := &reportedWork{}
	reported.add(fleet.Work{})
	sent := sentState{}
	receive := func() map[string]float64 {
		var m *peerpb.FleetUpdate
		h.loads, h.speeds.at = loadDigest{}, time.Time{} // older than the shortest intervals
		m, sent = h.update(w, sent)
		update, err := toFleetUpdate("source", m)
		if err == nil && m.GetListChange() != nil {
			_, err = list.apply(m.GetListChange())
		}
		if err == nil {
			err = applyDigest(&update, m, list.engines, reported)
		}
		if err != nil || !update.HasOthers {
			t.Fatal("no load digest in an update", err)
		}
		return update.Slowness
	}
	if got := receive(); len(got) != 0 {
		t.Errorf("slowness %v without reports, want none", got)
	}
	h.handleReport(w, fromReport(Report{Measured: measured}))
	got := receive()
	if _, known := got["e5"]; known || math.Abs(got["e4"]-2) > 0.2 || got["e4"] != math.Round(100*got["e4"])/100 {
		t.Errorf("slowness %v, want about 2 for e4, in whole percents, and none for e5", got)
	}
	engines[4].StartedMs = 2
	h.SetEngines(fleet.List{Engines: engines})
	if slow, ok := receive()["e4"]; ok {
		t.Errorf("slowness %.2f of an engine that has restarted, want none", slow)
	}
}

// TestInvalidSpeedsAreIgnored guards against a digest with fewer speeds than engines, or with
// engines that aren't listed, that ends a watch.
func TestInvalidSpeedsAreIgnored(t *testing.T) {
	engines := map[uint32]fleet.Engine{1: {ID: "a"}, 3: {ID: "c"}}
	got := toSlowness(&peerpb.LoadDigest{UnequalEngines: []uint32{1, 1, 1}, SlownessPercent: []uint32{150, 200}}, engines)
	if len(got) != 1 || got["a"] != 1.5 {
		t.Errorf("got %v, want a at 1.5 only", got)
	}
}
