package peergrpc

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/usage"
	"github.com/lagoonshift/lagoonshift/internal/protocol/walltime"
	"github.com/lagoonshift/lagoonshift/internal/state/document"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

func newUsageHub(counts *usage.Aggregator, estimate *walltime.Estimator) *FleetHub {
	return NewFleetHub(HubOptions{
		Document: func() document.Document { return document.Document{} }, ControlAddresses: func() []string { return nil },
		Leads: func() bool { return true }, Quarantine: quarantine.NewDetector(clock.Boot{}, hclog.NewNullLogger()),
		Retries: retry.NewAggregator(clock.Boot{}, retry.Bound{}), Usage: counts, TrueTime: estimate, Log: hclog.NewNullLogger(),
	})
}

// TestUsageCrossesTheWire sends reports of three entries, one of which is of an earlier
// build, as messages. It guards against counts and times that get lost between an entry and
// a replica, and against an old process that is taken for one whose clock shows 1970.
func TestUsageCrossesTheWire(t *testing.T) {
	estimate := walltime.NewEstimator(clock.Boot{})
	counts := usage.NewAggregator(clock.Boot{}, time.Second, estimate.Now)
	h := newUsageHub(counts, estimate)
	k := usage.WindowOf(time.Now(), time.Second)
	watches := make([]*entryWatch, 3)
	for i := range watches {
		watches[i] = &entryWatch{wake: make(chan struct{}, 1)}
		r := Report{EntryInfo: EntryInfo{Name: fmt.Sprint("entry-", i), Incarnation: uint64(i + 1)}}
		if i > 0 {
			r.Wall = time.Now()
			r.Usage = []usage.Count{{Window: k, Workspace: "north", Requests: 5}, {Window: k, Workspace: "south", Requests: uint64(i)}}
		}
		h.handleReport(watches[i], fromReport(r))
		h.handleReport(watches[i], fromReport(r))
	}
	if got, want := counts.Counts(k), map[string]uint64{"north": 10, "south": 3}; !maps.Equal(got, want) {
		t.Errorf("replica counts %v, want %v", got, want)
	}
	message, _ := h.update(watches[1], sentState{})
	update, err := toFleetUpdate("r", message)
	if err != nil {
		t.Fatal(err)
	}
	if diff := time.Since(update.TrueTime); diff.Abs() > time.Second {
		t.Errorf("the entry gets the time %v, want %v", update.TrueTime, time.Now())
	}
}

// TestWithoutUsage guards against messages of deployments that count nothing that differ from
// those of earlier builds, and against a zero time that counts as an estimate.
func TestWithoutUsage(t *testing.T) {
	h := newUsageHub(nil, nil)
	w := &entryWatch{wake: make(chan struct{}, 1)}
	report := fromReport(Report{EntryInfo: EntryInfo{Name: "entry", Incarnation: 1}})
	if report.GetWallMs() != 0 || len(report.GetUsage()) != 0 {
		t.Errorf("the report has time %d and usage %v, want none", report.GetWallMs(), report.GetUsage())
	}
	report.WallMs, report.Usage = 1, []*peerpb.UsageCount{{Window: 1, Workspace: "x", Requests: 1}}
	h.handleReport(w, report)
	message, _ := h.update(w, sentState{})
	update, err := toFleetUpdate("r", message)
	if err != nil || message.GetTrueMs() != 0 || !update.TrueTime.IsZero() {
		t.Errorf("the update has time %d, read as %v (error %v), want none", message.GetTrueMs(), update.TrueTime, err)
	}
}
