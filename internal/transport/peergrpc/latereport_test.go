package peergrpc

import (
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// TestFirstReportAfterTheEndOfItsWatch guards against an entry that counts as connected for good,
// with its load, because its first report is read while its watch ends.
func TestFirstReportAfterTheEndOfItsWatch(t *testing.T) {
	h, w := newTestHub(), &entryWatch{wake: make(chan struct{}, 1)}
	h.remove(w)
	h.handleReport(w, &peerpb.EntryReport{
		Name: "late", Incarnation: 1, Ready: true, TakesDigests: true, Number: 1,
		Loads:         []*peerpb.EngineLoad{{Engine: "e", Streams: 3}},
		WorkspaceUses: []*peerpb.WorkspaceUse{{Service: "llm", Workspace: "a", Asked: 5}},
		Demand:        []*peerpb.ServiceDemand{{Service: "llm", IntervalMs: 2000, Requests: 10}},
	})
	if entries, loads, demand := h.Entries(), h.Loads(), h.Demand(); len(entries)+len(loads)+len(demand) > 0 || h.ready.Load() > 0 {
		t.Errorf("entries %v with load %v and demand %v, %d ready, want none", entries, loads, demand, h.ready.Load())
	}
	if uses := h.uses.others(&entryWatch{}); len(uses) > 0 {
		t.Errorf("uses of workspaces %v, want none", uses)
	}
	if n := h.options.Retries.Deployment(0).Processes; n > 0 {
		t.Errorf("%d processes with a part of the retry budgets, want none", n)
	}
}
