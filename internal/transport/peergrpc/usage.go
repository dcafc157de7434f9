package peergrpc

import (
	"strconv"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/usage"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// recordUsage records an entry's time of day and its counts.
func (h *FleetHub) recordUsage(entry EntryInfo, report *peerpb.EntryReport) {
	if wall := toWall(report.GetWallMs()); !wall.IsZero() && h.options.TrueTime != nil {
		// Of an entry that has restarted, both clocks count until the older one expires.
		h.options.TrueTime.Record(entry.Name+"/"+strconv.FormatUint(entry.Incarnation, 16), wall)
	}
	// In this order: a window is decided once its entries are heard.
	h.options.Usage.Record(entry.Incarnation, toUsage(report.GetUsage()))
	h.options.Usage.Heard(entry.Name, entry.Incarnation, entry.Ready)
}

// trueMs returns the estimate of the true time as it is sent.
func (h *FleetHub) trueMs() int64 {
	if h.options.TrueTime == nil {
		return 0
	}
	t, ok := h.options.TrueTime.Now()
	if !ok {
		return 0
	}
	return fromWall(t)
}

func fromUsage(counts []usage.Count) []*peerpb.UsageCount {
	out := make([]*peerpb.UsageCount, 0, len(counts))
	for _, c := range counts {
		out = append(out, &peerpb.UsageCount{Window: c.Window, Workspace: c.Workspace, Requests: c.Requests})
	}
	return out
}

func toUsage(counts []*peerpb.UsageCount) []usage.Count {
	out := make([]usage.Count, 0, len(counts))
	for _, c := range counts {
		out = append(out, usage.Count{Window: c.GetWindow(), Workspace: c.GetWorkspace(), Requests: c.GetRequests()})
	}
	return out
}

// fromWall returns a time of day as it is sent: zero for the zero time.
func fromWall(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func toWall(ms int64) time.Time {
	if ms <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
