package peergrpc

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/forward"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/ratelimit"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/origin"
	"github.com/lagoonshift/lagoonshift/internal/protocol/usage"
	"github.com/lagoonshift/lagoonshift/internal/protocol/walltime"
	"github.com/lagoonshift/lagoonshift/internal/state/document"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

const (
	// fleetHeartbeat is the maximum time between two messages of a watch, in
	// either direction.
	fleetHeartbeat = fleet.MaxLoadInterval
	// fleetIdleTimeout is the time without a message from the other side after
	// which a watch is ended: six heartbeats.
	fleetIdleTimeout = 1200 * time.Millisecond
	// Followers multiply the interval of the leader by followerIntervalFactor for entries that
	// have no leader; for all others they send only heartbeats and what is new.
	followerIntervalFactor = 2
	// maxKeptHoldings bounds the holdings kept for sending to other entries. It is
	// more than all entries of the largest deployment report in one heartbeat.
	maxKeptHoldings = 4096
	// documentPollInterval is the time between two checks for a newly applied
	// document.
	documentPollInterval = 25 * time.Millisecond
)

// EntryInfo is an entry process as a control replica knows it.
type EntryInfo struct {
	Name        string
	Incarnation uint64
	// Address is where the entry accepts callers' requests, as IP:port.
	Address string
	Zone    string
	Ready   bool
	// DocumentVersion is the version of the document that the entry has in force.
	DocumentVersion uint64
	// ForwardAddress is the IP:port at which the entry takes requests from other entries,
	// or empty.
	ForwardAddress string
	// TakesWorkspaces is set if it takes such requests with the name of a workspace.
	TakesWorkspaces bool
	// UnreachableServices are those of which the entry reaches no server.
	UnreachableServices []string
}

// HubOptions configures a FleetHub.
type HubOptions struct {
	ReplicaID uint64
	// Document returns the newest applied document.
	Document func() document.Document
	// ControlAddresses returns the peer addresses of the control replicas.
	ControlAddresses func() []string
	// Leads reports whether this replica is the leader of the group.
	Leads func() bool
	// Quarantine evaluates what entries report on requests and prompt parts that crash
	// servers.
	Quarantine *quarantine.Detector
	// Retries records what entries use of the retry budgets.
	Retries *retry.Aggregator
	// Usage sums up what entries count; nil if they don't.
	Usage *usage.Aggregator
	// TrueTime estimates the true time from the clocks of the entries. If it is nil, none is
	// sent.
	TrueTime *walltime.Estimator
	Log      hclog.Logger
}

// FleetHub serves the Fleet service of one control replica. It keeps a list of
// the entries that watch the replica and sends them documents, engines and load.
type FleetHub struct {
	peerpb.UnimplementedFleetServer

	options HubOptions
	// engines is the newest list, or nil before the first one.
	engines    atomic.Pointer[engineList]
	compressed compressedDocument
	// origins holds which software versions began streams.
	origins *origin.Memory
	stopped chan struct{}
	once    sync.Once
	// ready is the number of entries that accept new work. It is recomputed when
	// it may have changed rather than for each update.
	ready atomic.Uint32
	// peers are the entries that take requests from others, sorted, or nil before the first
	// one. They are replaced with ready.
	peers atomic.Pointer[[]forward.Peer]

	mu      sync.Mutex // guards the fields below
	entries map[*entryWatch]struct{}
	uses    workspaceUses
	speeds  engineSpeeds
	// sum is the unfinished work of all entries.
	sum *fleet.Sum
	// withdrawn holds the IDs of the engines that get no requests.
	withdrawn []string
	// holdings are the newest reported holdings, oldest first, and
	// droppedHoldings is the number of holdings that were dropped from its front.
	holdings        []reportedHolding
	droppedHoldings int
	// rateLimits holds the rate limits of servers.
	rateLimits *ratelimit.Register
	// listedAt is the clock.Instant at which the newest list of engines was read.
	listedAt atomic.Int64
	// known are the engines in use: those of the newest list and, if that is
	// incomplete, those that it doesn't name and that were known before.
	known []fleet.Engine
	// loads is the newest digest of sum.
	loads loadDigest
	// digests makes the digests.
	digests digestEncoder
}

// entryWatch is one entry's watch.
type entryWatch struct {
	// info is replaced by each report; the EntryInfo itself is immutable.
	info atomic.Pointer[EntryInfo]
	// work is the newest reported work, which is part of the hub's sum. It is
	// guarded by the hub's lock.
	work fleet.Work
	// report is the number of the newest report, whose work is part of the hub's sum. It
	// is guarded by the hub's lock.
	report uint64
	// introduced is set once the first report has arrived, and takesDigests by that report.
	introduced, takesDigests atomic.Bool
	// pace is the newest reported pace by service. It is guarded by the hub's
	// lock.
	pace map[string]fleet.Pace
	// demand is what callers asked for at the entry; guarded by the hub's lock.
	demand []*peerpb.ServiceDemand
	// nextHolding is the position of the first holding that was not sent to the
	// entry, counted from the first holding ever reported to the hub. It is
	// guarded by the hub's lock.
	nextHolding int
	// ended is set once the watch has ended. It is guarded by the hub's lock, and left, which
	// states the same, by that of the hub's uses.
	ended, left bool
	// wantsWork is WantWork of the newest report.
	wantsWork atomic.Bool
	// wantsDocument is set by a report and cleared by the update that has the
	// document.
	wantsDocument atomic.Bool
	// position is the entry's place among those that accept new work, from 1, or
	// zero if it accepts none.
	position atomic.Uint32
	// rateLimits is what the entry holds of the hub's rate limits. It is guarded by
	// the hub's lock.
	rateLimits ratelimit.Peer
	// wake triggers an update to the entry; its capacity is 1.
	wake chan struct{}
}

// signal sends to a channel of capacity 1 unless the channel is full or nil.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// NewFleetHub returns a hub without entries.
func NewFleetHub(o HubOptions) *FleetHub {
	return &FleetHub{options: o, stopped: make(chan struct{}), entries: make(map[*entryWatch]struct{}), sum: fleet.NewSum(), rateLimits: ratelimit.NewRegister(clock.Boot{}), origins: origin.NewMemory(clock.Boot{})}
}

// Register adds the service to a gRPC server.
func (h *FleetHub) Register(server *grpc.Server) {
	peerpb.RegisterFleetServer(server, h)
}

// Stop ends all watches, so that entries use other replicas.
func (h *FleetHub) Stop() {
	h.once.Do(func() { close(h.stopped) })
}

// Run wakes the watches when a new document is applied or the lists of
// prompt parts change, until ctx ends.
func (h *FleetHub) Run(ctx context.Context) error {
	seen, seenPartLists := uint64(0), uint64(0)
	return clock.Every(ctx, documentPollInterval, func(context.Context) {
		h.options.Quarantine.Advance()
		version, lists := h.options.Document().Version, h.options.Quarantine.Generation()
		if version != seen || lists != seenPartLists {
			seen, seenPartLists = version, lists
			h.wakeAll()
		}
	})
}

// SetEngines replaces the list of engines. It must not be called concurrently.
func (h *FleetHub) SetEngines(list fleet.List) {
	h.mu.Lock()
	known := list.Over(h.known)
	h.known = known
	h.mu.Unlock()
	h.recordVersions(known)
	h.speeds.setEngines(known)
	h.listedAt.Store(int64(clock.Boot{}.Now()))
	held := h.engines.Load()
	next := held.next(list)
	if next.same(held) {
		return
	}
	h.engines.Store(next)
	incarnations := make(map[string]bool, len(known))
	for _, e := range known {
		incarnations[e.Incarnation()] = true
	}
	h.mu.Lock()
	h.rateLimits.Retain(func(server string) bool { return incarnations[server] })
	h.mu.Unlock()
	h.wakeAll()
}

// Entries returns the newest incarnation of each entry that watches this
// replica.
func (h *FleetHub) Entries() []EntryInfo {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.newestIncarnations()
	out := make([]EntryInfo, 0, len(newest))
	for _, info := range newest {
		out = append(out, *info)
	}
	return out
}

// newestIncarnations returns the newest incarnation of each entry by name. The caller
// holds the lock.
func (h *FleetHub) newestIncarnations() map[string]*EntryInfo {
	newest := make(map[string]*EntryInfo, len(h.entries))
	for w := range h.entries {
		info := w.info.Load()
		if info == nil {
			continue
		}
		if held := newest[info.Name]; held == nil || info.Incarnation >= held.Incarnation {
			newest[info.Name] = info
		}
	}
	return newest
}

// countReady recomputes the number of entries that accept new work, and the place
// of each in the order of their names. The caller holds the lock.
func (h *FleetHub) countReady() {
	all := h.newestIncarnations()
	ready := make([]*EntryInfo, 0, len(all))
	for _, info := range all {
		if info.Ready {
			ready = append(ready, info)
		}
	}
	slices.SortFunc(ready, func(a, b *EntryInfo) int { return strings.Compare(a.Name, b.Name) })
	positions := make(map[uint64]uint32, len(ready))
	for i, info := range ready {
		positions[info.Incarnation] = uint32(i + 1)
	}
	h.options.Retries.SetConnected(len(all))
	for w := range h.entries {
		if info := w.info.Load(); info != nil {
			w.position.Store(positions[info.Incarnation])
		}
	}
	h.ready.Store(uint32(len(ready)))
	h.setPeers(ready)
}

// Loads returns the total load that entries reported, by engine id.
func (h *FleetHub) Loads() map[string]fleet.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sum.Without(fleet.Work{}).Engines
}

// Pace returns the recent streams of all entries, by service.
func (h *FleetHub) Pace() map[string]fleet.Pace {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]fleet.Pace)
	for w := range h.entries {
		for service, p := range w.pace {
			out[service] = out[service].Add(p)
		}
	}
	return out
}

// Withdraw replaces the set of engines that entries send no requests to, by ID.
func (h *FleetHub) Withdraw(engines []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.withdrawn = engines
}

func (h *FleetHub) wakeAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for w := range h.entries {
		signal(w.wake)
	}
}

// Watch implements peerpb.FleetServer.
func (h *FleetHub) Watch(stream grpc.BidiStreamingServer[peerpb.EntryReport, peerpb.FleetUpdate]) error {
	w := &entryWatch{wake: make(chan struct{}, 1)}
	ended := make(chan error, 1)
	reports := make(chan struct{}, 1)
	go func() { ended <- h.receive(stream, w, reports) }()
	defer h.remove(w)
	return h.send(stream, w, reports, ended)
}

// receive handles reports until the stream ends and signals each one on reports.
func (h *FleetHub) receive(stream grpc.BidiStreamingServer[peerpb.EntryReport, peerpb.FleetUpdate], w *entryWatch, reports chan<- struct{}) error {
	for {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		h.handleReport(w, report)
		signal(reports)
	}
}

func (h *FleetHub) handleReport(w *entryWatch, report *peerpb.EntryReport) {
	info := EntryInfo{}
	held := w.info.Load()
	if held != nil {
		info = *held
	} else {
		info.Name, info.Incarnation = report.GetName(), report.GetIncarnation()
		info.Address, info.Zone = report.GetAddress(), report.GetZone()
		info.ForwardAddress, info.TakesWorkspaces = report.GetForwardAddress(), report.GetTakesWorkspaces()
		w.takesDigests.Store(report.GetTakesDigests())
		if !h.add(w, info) {
			return // the watch has ended
		}
	}
	readinessChanged := info.Ready != report.GetReady()
	if readinessChanged {
		h.options.Log.Info("entry readiness changed", "entry", info.Name, "ready", report.GetReady(), "document", report.GetDocumentVersion())
	}
	reachChanged := !slices.Equal(info.UnreachableServices, report.GetUnreachableServices())
	if reachChanged {
		h.options.Log.Info("entry reaches other services", "entry", info.Name, "unreachable", report.GetUnreachableServices())
	}
	info.Ready = report.GetReady()
	info.DocumentVersion = report.GetDocumentVersion()
	info.UnreachableServices = report.GetUnreachableServices()
	w.info.Store(&info)
	if held == nil || readinessChanged || reachChanged {
		h.mu.Lock()
		h.countReady()
		h.mu.Unlock()
	}
	h.options.Retries.Record(info.Incarnation, toRetryUses(report.GetRetryUses()))
	h.uses.set(w, report.GetWorkspaceUses())
	h.speeds.add(report.GetMeasuredSpeeds())
	work := toEarlierWork
	if w.takesDigests.Load() {
		work = toWork
	}
	h.setWork(w, report.GetNumber(), work(report.GetLoads(), report.GetWaiting()), toPace(report.GetPace()))
	h.setDemand(w, report.GetDemand())
	h.recordHoldings(w, toHoldings(report.GetHoldings()))
	h.options.Quarantine.Record(toEvidence(report.GetEvidence()))
	h.mergeRateLimits(w, report.GetRateLimits())
	h.origins.Merge(toStreams(report.GetBegunStreams()))
	h.recordUsage(info, report)
	w.wantsWork.Store(report.GetWantWork())
	if report.GetWantDocument() {
		w.wantsDocument.Store(true)
		signal(w.wake)
	}
}

// add adds an entry. It returns false if its watch has ended already.
func (h *FleetHub) add(w *entryWatch, info EntryInfo) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.ended {
		return false
	}
	h.entries[w] = struct{}{}
	w.nextHolding = h.droppedHoldings
	w.info.Store(&info)
	h.options.Retries.Joined(info.Name, info.Incarnation)
	w.introduced.Store(true)
	signal(w.wake)
	h.options.Log.Info("entry connected", "entry", info.Name, "incarnation", info.Incarnation, "address", info.Address)
	return true
}

// setWork replaces the work and the pace of an entry by those of a report. It ignores a report that is
// read after the watch was removed.
func (h *FleetHub) setWork(w *entryWatch, report uint64, work fleet.Work, pace map[string]fleet.Pace) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, watched := h.entries[w]; !watched {
		return
	}
	h.sum.Remove(w.work)
	h.sum.Add(work)
	w.report, w.work, w.pace = report, work, pace
}

// mergeRateLimits records the rate limits that an entry reported.
func (h *FleetHub) mergeRateLimits(w *entryWatch, limits []*peerpb.RateLimit) {
	if len(limits) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rateLimits.Merge(&w.rateLimits, toRateLimits(limits))
}

// pendingRateLimits returns the rate limits in which an entry differs.
func (h *FleetHub) pendingRateLimits(w *entryWatch) []ratelimit.Announcement {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rateLimits.Pending(&w.rateLimits)
}

func (h *FleetHub) remove(w *entryWatch) {
	h.mu.Lock()
	w.ended = true
	delete(h.entries, w)
	h.sum.Remove(w.work)
	w.work = fleet.Work{}
	h.countReady()
	h.mu.Unlock()
	h.uses.remove(w)
	if info := w.info.Load(); info != nil {
		h.options.Retries.Left(info.Incarnation)
		h.options.Log.Info("entry disconnected", "entry", info.Name, "incarnation", info.Incarnation)
	}
}
