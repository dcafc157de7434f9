package peergrpc

import (
	"fmt"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/fairshare"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// TestWorkspaceUsesReachOtherEntries guards against entries that don't learn what workspaces
// ask of the others, count their own twice, or keep what an entry that left had reported.
func TestWorkspaceUsesReachOtherEntries(t *testing.T) {
	h := newTestHub()
	entries := []*entryWatch{{}, {}, {}}
	for i, w := range entries {
		report := fromReport(Report{EntryInfo: EntryInfo{Name: fmt.Sprint(i), Incarnation: uint64(i + 1)}, Uses: []fairshare.Use{
			{Service: "llm", Workspace: "all", Asked: 100, Granted: 50},
			{Service: "llm", Workspace: fmt.Sprint(i), Asked: 10},
			{Service: "llm", Asked: 7},
		}})
		h.handleReport(w, report)
	}
	others := func(w *entryWatch) map[string]fairshare.Use {
		message, _ := h.update(w, sentState{})
		update, err := toFleetUpdate("replica", message)
		if err != nil {
			t.Fatal(err)
		}
		out := make(map[string]fairshare.Use)
		for _, u := range update.OthersUses {
			out[u.Workspace] = u
		}
		return out
	}
	got := others(entries[0])
	if len(got) != 4 || got["all"].Asked != 200 || got["all"].Granted != 100 || got["1"].Asked != 10 || got["2"].Asked != 10 || got[""].Asked != 14 {
		t.Errorf("entry 0 got %+v", got)
	}
	h.remove(entries[2])
	h.handleReport(entries[2], fromReport(Report{Uses: []fairshare.Use{{Service: "llm", Workspace: "late", Asked: 1}}}))
	h.handleReport(entries[1], fromReport(Report{})) // no longer saturated
	time.Sleep(100 * time.Millisecond)
	if got := others(entries[0]); len(got) != 0 {
		t.Errorf("got %+v of entries that have left or aren't saturated", got)
	}
	h.remove(entries[0])
	if len(h.uses.reported) != 0 {
		t.Errorf("%d reports kept without entries", len(h.uses.reported))
	}
}

// TestHostileUsesAreBounded guards against a report that fills a replica's memory or counts a
// workspace twice.
func TestHostileUsesAreBounded(t *testing.T) {
	var uses []*peerpb.WorkspaceUse
	for i := range 10 * maxReportedUses {
		uses = append(uses, &peerpb.WorkspaceUse{Service: "llm", Workspace: fmt.Sprint(i / 2), Asked: 1})
	}
	if got := toWorkspaceUses(uses); len(got) != maxReportedUses/2 {
		t.Errorf("got %d uses, want %d", len(got), maxReportedUses/2)
	}
}
