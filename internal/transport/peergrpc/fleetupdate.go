package peergrpc

import (
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/forward"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// send sends updates until the stream ends, no report arrives for
// fleetIdleTimeout, or the hub stops.
func (h *FleetHub) send(stream grpc.BidiStreamingServer[peerpb.EntryReport, peerpb.FleetUpdate], w *entryWatch, reports <-chan struct{}, ended <-chan error) error {
	heartbeat := time.NewTimer(fleetHeartbeat)
	defer heartbeat.Stop()
	idleTimer := time.NewTimer(fleetIdleTimeout)
	defer idleTimer.Stop()
	var sent sentState
	for {
		update, state := h.update(w, sent)
		if err := stream.SendMsg(split(update)); err != nil {
			return err
		}
		sent = state
		heartbeat.Reset(h.interval(w))
		for waiting := true; waiting; {
			select {
			case err := <-ended:
				return err
			case <-h.stopped:
				return status.Error(codes.Unavailable, "replica is stopping")
			case <-idleTimer.C:
				return status.Errorf(codes.DeadlineExceeded, "no report for %v", fleetIdleTimeout)
			case <-reports:
				idleTimer.Reset(fleetIdleTimeout)
			case <-heartbeat.C:
				waiting = false
			case <-w.wake:
				waiting = false
			}
		}
	}
}

// sentState is what an entry already has from earlier updates of its watch.
type sentState struct {
	engines          *engineList
	controlAddresses []string
	// partLists is the generation of the lists of prompt parts; zero means none.
	partLists uint64
	// peers are the entries that take requests from others; nil means that none were sent.
	peers *[]forward.Peer
}

// interval returns the time between two messages of a watch.
func (h *FleetHub) interval(w *entryWatch) time.Duration {
	leads := h.options.Leads()
	if !leads && !w.wantsWork.Load() {
		return fleetHeartbeat
	}
	h.mu.Lock()
	entries := len(h.entries)
	h.mu.Unlock()
	if !leads {
		entries *= followerIntervalFactor
	}
	return fleet.LoadInterval(entries)
}

// update returns the next message of a watch, and what the entry has once it
// has received it.
func (h *FleetHub) update(w *entryWatch, sent sentState) (*peerpb.FleetUpdate, sentState) {
	held := h.options.Document()
	next := sentState{engines: h.engines.Load(), controlAddresses: h.options.ControlAddresses(), partLists: sent.partLists, peers: sent.peers}
	update := &peerpb.FleetUpdate{
		ReplicaId:       h.options.ReplicaID,
		DocumentVersion: held.Version,
		ReportMs:        uint32(h.interval(w).Milliseconds()),
		Leads:           h.options.Leads(),
		Entries:         h.ready.Load(),
		Position:        w.position.Load(),
		RateLimits:      fromRateLimits(h.pendingRateLimits(w)),
		TrueMs:          h.trueMs(),
	}
	if info := w.info.Load(); info != nil {
		update.RetryDeployment = fromRetryDeployment(h.options.Retries.Deployment(info.Incarnation))
	}
	if !slices.Equal(next.controlAddresses, sent.controlAddresses) {
		update.ControlAddresses = next.controlAddresses
	}
	if w.wantsDocument.Swap(false) {
		compressed, err := h.compressed.of(held)
		if err != nil {
			h.options.Log.Error("document not sent", "version", held.Version, "error", err)
		}
		update.Document = compressed
	}
	if next.engines != nil && next.engines != sent.engines && !h.setEngineList(update, w, next.engines, sent.engines) {
		next.engines = sent.engines
	}
	if update.Leads || w.wantsWork.Load() {
		h.setOthers(update, w)
		update.OthersWorkspaceUses = h.uses.others(w)
		next.peers = h.peers.Load()
		setForwardPeers(update, sent.peers, next.peers)
	}
	update.Holdings = fromHoldings(h.unsentHoldings(w))
	if h.options.Quarantine.Generation() != sent.partLists {
		lists, generation := h.options.Quarantine.PartLists()
		next.partLists = generation
		update.HasPartLists = true
		update.SuspectedParts, update.QuarantinedParts = lists.Suspected, fromQuarantined(lists.Quarantined)
	}
	return update, next
}

// setEngineList adds a list of engines to an update for an entry that has the list held. It
// reports whether it did: the entry's first report states which form of lists it takes.
func (h *FleetHub) setEngineList(update *peerpb.FleetUpdate, w *entryWatch, list, held *engineList) bool {
	if !w.introduced.Load() {
		return false
	}
	if !w.takesDigests.Load() {
		update.HasEngines = true
		update.Engines = list.engines
		update.EnginesIncomplete = list.incomplete
		return true
	}
	var err error
	if update.ListChange, err = list.changeSince(held); err != nil {
		h.options.Log.Error("list of engines not sent", "error", err)
		return false
	}
	return true
}

// setOthers adds the work of other entries to an update for an entry that has reported.
func (h *FleetHub) setOthers(update *peerpb.FleetUpdate, w *entryWatch) {
	if !w.introduced.Load() {
		return
	}
	if !w.takesDigests.Load() {
		update.HasOthers = true
		update.Others, update.OthersWaiting = fromWork(h.othersWork(w))
		return
	}
	encoded, report, err := h.digest(w)
	if err != nil {
		h.options.Log.Error("load of engines not sent", "error", err)
		return
	}
	update.HasOthers, update.LoadDigest, update.DigestReport = true, encoded, report
	update.OthersWaiting = fromWaiting(h.othersWaiting(w))
}

// othersWork returns the work of all entries except w, with the withdrawn
// engines marked.
func (h *FleetHub) othersWork(w *entryWatch) fleet.Work {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.markWithdrawn(h.sum.Without(w.work))
}

// othersWaiting returns the prompt tokens that wait at all entries except w, by service.
func (h *FleetHub) othersWaiting(w *entryWatch) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sum.WaitingWithout(w.work)
}

// markWithdrawn marks the withdrawn engines in work and returns it. The caller holds the
// lock.
func (h *FleetHub) markWithdrawn(work fleet.Work) fleet.Work {
	for _, engine := range h.withdrawn {
		load := work.Engines[engine]
		load.Withdrawn = 1
		work.Engines[engine] = load
	}
	return work
}
