package peergrpc

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/forward"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/fairshare"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/ratelimit"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/origin"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/cost"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/prefixdir"
	"github.com/lagoonshift/lagoonshift/internal/protocol/usage"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// rewatchDelay is the time before a watch that ended is opened again.
const rewatchDelay = 200 * time.Millisecond

// Report is an entry's report to one control replica.
type Report struct {
	EntryInfo
	// WantDocument asks this replica for the newest document.
	WantDocument bool
	// Work is the entry's unfinished work. It is empty in reports to followers
	// while there is a leader.
	Work fleet.Work
	// WantWork asks for the work of the other entries, which a follower sends
	// only on request. It is set while no leader sends it.
	WantWork bool
	// Uses is what workspaces ask of saturated services at the entry; to the leader only.
	Uses []fairshare.Use
	// Holdings are shared prompt prefixes that engines prefilled for the entry.
	Holdings []prefixdir.Holding
	// Pace counts the entry's recent streams by service.
	Pace map[string]fleet.Pace
	// Demand is what callers lately asked for, by service.
	Demand map[string]fleet.Demand
	// Evidence is what the entry has seen of requests and prompt parts that may crash
	// servers.
	Evidence []quarantine.Evidence
	// RateLimits are rate limits of servers that the replica doesn't have yet.
	RateLimits []ratelimit.Announcement
	// Streams are streams that began, by the version that began them, and that the
	// replica doesn't know yet.
	Streams []origin.Streams
	// RetryUses is what the entry has used of the retry budgets, where the replica
	// doesn't know it.
	RetryUses []retry.Use
	// Wall is the entry's time of day, or zero. Usage are the counts of requests that the
	// replica doesn't know yet.
	Wall  time.Time
	Usage []usage.Count
	// Measured is what the entry measured of engines' speeds since the last report to a
	// leader.
	Measured []cost.Measured
}

// Update is a control replica's message to an entry.
type Update struct {
	// Source is the replica's peer address.
	Source string
	// DocumentVersion is the newest version that the replica has applied.
	DocumentVersion uint64
	// Document is the content of that version if the entry asked for it.
	Document []byte
	// Entries is the number of entries that accept new work, and Index this entry's
	// place among them; negative if it accepts none.
	Entries int
	Index   int
	// RateLimits are rate limits of servers that the entry didn't report so.
	RateLimits []ratelimit.Announcement
	// Engines is nil unless the list changed since the last update.
	Engines *fleet.List
	// Others is the work that all other entries reported, if HasOthers is set.
	Others    fleet.Work
	HasOthers bool
	// Slowness is how much slower than the median of their service engines are according to
	// all entries, by ID, if HasOthers is set.
	Slowness map[string]float64
	// OthersUses is what all other entries reported of workspaces, if HasOthers is set.
	OthersUses []fairshare.Use
	// Holdings are shared prompt prefixes that engines prefilled for other
	// entries.
	Holdings []prefixdir.Holding
	// Leads is set if the replica is the leader, which has the newest load
	// figures.
	Leads bool
	// PartLists are the replica's lists of prompt parts, or nil if they did not
	// change since the last update.
	PartLists *quarantine.PartLists
	// Retries is the state of the deployment's retry budgets.
	Retries retry.Deployment
	// Peers is the change in the entries that take requests from others.
	Peers forward.Change
	// TrueTime is the replica's estimate of the true time, or zero.
	TrueTime time.Time
	// ReportAfter is how long after the last report the replica expects the next
	// one.
	ReportAfter time.Duration
}

// WatcherOptions configures a FleetWatcher.
type WatcherOptions struct {
	Pool *Pool
	// Seeds returns the peer addresses of control processes to connect to first.
	Seeds func() []string
	// Report returns the entry's current report for the replica at a peer
	// address; first is set for the first one of a watch.
	Report func(source string, first bool) Report
	// Deliver handles an update. It is called concurrently.
	Deliver func(Update)
	Log     hclog.Logger
}

// FleetWatcher keeps a watch open at every control replica. It discovers the
// replicas' addresses through the seeds.
type FleetWatcher struct {
	options WatcherOptions
	// changed signals that the set of replicas may have changed; its capacity
	// is 1.
	changed chan struct{}
	// flushing is closed by Flush.
	flushing  chan struct{}
	flushOnce sync.Once

	mu sync.Mutex // guards the fields below
	// members holds, by source, the addresses of control replicas that the source
	// sent last. connected holds the sources with an open watch.
	members   map[string][]string
	connected map[string]bool
	// wake holds, by source, a channel that makes the open watch send a report.
	wake map[string]chan struct{}
}

// NewFleetWatcher returns a watcher; Run starts it.
func NewFleetWatcher(o WatcherOptions) *FleetWatcher {
	return &FleetWatcher{
		options:   o,
		changed:   make(chan struct{}, 1),
		flushing:  make(chan struct{}),
		members:   make(map[string][]string),
		connected: make(map[string]bool),
		wake:      make(map[string]chan struct{}),
	}
}

// Run watches until ctx ends.
func (f *FleetWatcher) Run(ctx context.Context) error {
	var group errgroup.Group
	running := make(map[string]context.CancelFunc)
	for ctx.Err() == nil {
		wanted := f.addresses()
		for _, address := range wanted {
			if running[address] != nil {
				continue
			}
			watchCtx, cancel := context.WithCancel(ctx)
			running[address] = cancel
			group.Go(func() error { f.keepWatching(watchCtx, address); return nil })
		}
		for address, cancel := range running {
			if !slices.Contains(wanted, address) {
				cancel()
				delete(running, address)
				f.markDisconnected(address)
			}
		}
		select {
		case <-ctx.Done():
		case <-f.changed:
		case <-time.After(time.Second): // the seeds may have changed, which is not signalled
		}
	}
	for _, cancel := range running {
		cancel()
	}
	return group.Wait()
}

// Wake makes all watches send a report now.
func (f *FleetWatcher) Wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, wake := range f.wake {
		signal(wake)
	}
}

// WakeSource makes the watch at one replica send a report now.
func (f *FleetWatcher) WakeSource(source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	signal(f.wake[source])
}

// Connected returns the number of open watches.
func (f *FleetWatcher) Connected() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.connected)
}

// addresses returns the seeds and the addresses that connected sources sent or,
// while no source is connected, those that any source sent last.
func (f *FleetWatcher) addresses() []string {
	out := slices.Clone(f.options.Seeds())
	f.mu.Lock()
	defer f.mu.Unlock()
	for source, named := range f.members {
		if len(f.connected) == 0 || f.connected[source] {
			out = append(out, named...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (f *FleetWatcher) setMembers(source string, named []string) {
	f.mu.Lock()
	same := slices.Equal(f.members[source], named)
	f.members[source] = named
	f.mu.Unlock()
	if !same {
		signal(f.changed)
	}
}

func (f *FleetWatcher) markConnected(source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connected[source] = true
}

func (f *FleetWatcher) markDisconnected(source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.connected, source)
	delete(f.wake, source)
}

// keepWatching keeps a watch open at one address until ctx ends.
func (f *FleetWatcher) keepWatching(ctx context.Context, address string) {
	for ctx.Err() == nil && !f.isFlushing() {
		if err := f.watch(ctx, address); err != nil && ctx.Err() == nil && !f.isFlushing() {
			f.options.Log.Warn("control replica lost", "peer", address, "error", err)
			// A connection on which nothing arrived would not carry a new watch
			// either.
			f.options.Pool.Drop(address)
		}
		clock.Sleep(ctx, rewatchDelay)
	}
}

// watch opens a watch and handles its messages until it ends.
func (f *FleetWatcher) watch(ctx context.Context, address string) error {
	conn, err := f.options.Pool.conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(fleetIdleTimeout, cancel)
	defer idleTimer.Stop()
	stream, err := peerpb.NewFleetClient(conn).Watch(ctx)
	if err != nil {
		return fmt.Errorf("watch fleet at %s: %w", address, err)
	}
	wake, reported := make(chan struct{}, 1), &reportedWork{}
	interval := atomic.Int64{}
	interval.Store(int64(fleetHeartbeat))
	f.mu.Lock()
	f.wake[address] = wake
	f.mu.Unlock()
	defer f.markDisconnected(address)
	go func() {
		defer cancel()
		f.sendReports(ctx, stream, address, wake, &interval, reported)
	}()
	connected, list := false, listReader{}
	for {
		message, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("watch fleet at %s: %w", address, err)
		}
		idleTimer.Reset(fleetIdleTimeout)
		if !connected {
			connected = true
			f.options.Log.Info("control replica connected", "peer", address, "document", message.GetDocumentVersion())
		}
		f.markConnected(address)
		if members := message.GetControlAddresses(); len(members) > 0 {
			f.setMembers(address, members)
		}
		update, err := toFleetUpdate(address, message)
		if err == nil && message.GetListChange() != nil {
			update.Engines, err = list.apply(message.GetListChange())
		}
		if err == nil {
			err = applyDigest(&update, message, list.engines, reported)
		}
		if err != nil {
			return fmt.Errorf("watch fleet at %s: %w", address, err)
		}
		interval.Store(int64(update.ReportAfter))
		f.options.Deliver(update)
	}
}

type reportStream interface {
	Send(*peerpb.EntryReport) error
	CloseSend() error
}

// sendReports sends a report at once, after each interval and on each signal on
// wake.
func (f *FleetWatcher) sendReports(ctx context.Context, stream reportStream, address string, wake <-chan struct{}, interval *atomic.Int64, reported *reportedWork) {
	heartbeat := time.NewTimer(fleetHeartbeat)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		heartbeat.Reset(time.Duration(interval.Load()))
		report := f.options.Report(address, first)
		message := fromReport(report)
		message.TakesDigests, message.Number = first, reported.add(report.Work)
		if err := stream.Send(message); err != nil {
			return // Recv returns the reason.
		}
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
		case <-wake:
		case <-f.flushing:
			f.sendLastReport(ctx, stream, address)
			return
		}
	}
}

func fromReport(r Report) *peerpb.EntryReport {
	out := &peerpb.EntryReport{
		Name:            r.Name,
		Incarnation:     r.Incarnation,
		Address:         r.Address,
		Zone:            r.Zone,
		Ready:           r.Ready,
		DocumentVersion: r.DocumentVersion,
		WantDocument:    r.WantDocument,
		WantWork:        r.WantWork,

		ForwardAddress:      r.ForwardAddress,
		TakesWorkspaces:     r.TakesWorkspaces,
		UnreachableServices: r.UnreachableServices,
	}
	out.Loads, out.Waiting = fromWork(r.Work)
	out.Holdings = fromHoldings(r.Holdings)
	out.Pace = fromPace(r.Pace)
	out.Demand = fromDemand(r.Demand)
	out.Evidence = fromEvidence(r.Evidence)
	out.RateLimits = fromRateLimits(r.RateLimits)
	out.BegunStreams = fromStreams(r.Streams)
	out.RetryUses = fromRetryUses(r.RetryUses)
	out.WallMs, out.Usage = fromWall(r.Wall), fromUsage(r.Usage)
	out.WorkspaceUses = fromWorkspaceUses(r.Uses)
	out.MeasuredSpeeds = fromMeasuredSpeeds(r.Measured)
	return out
}

func toFleetUpdate(source string, m *peerpb.FleetUpdate) (Update, error) {
	content, err := decompressDocument(m.GetDocument())
	if err != nil {
		return Update{}, err
	}
	out := Update{
		Source:          source,
		DocumentVersion: m.GetDocumentVersion(),
		Document:        content,
		Entries:         int(m.GetEntries()),
		Index:           int(m.GetPosition()) - 1,
		RateLimits:      toRateLimits(m.GetRateLimits()),
		Leads:           m.GetLeads(),
		HasOthers:       m.GetHasOthers(),
		ReportAfter:     max(fleet.MinLoadInterval, time.Duration(m.GetReportMs())*time.Millisecond),
		Others:          toEarlierWork(m.GetOthers(), m.GetOthersWaiting()),
		OthersUses:      toWorkspaceUses(m.GetOthersWorkspaceUses()),
		Holdings:        toHoldings(m.GetHoldings()),
		PartLists:       toPartLists(m),
		Retries:         toRetryDeployment(m.GetRetryDeployment()),
		Peers:           toForwardPeers(m),
		TrueTime:        toWall(m.GetTrueMs()),
	}
	if m.GetHasEngines() {
		if out.Engines, err = toEngineList(m); err != nil {
			return Update{}, err
		}
	}
	return out, nil
}

func toEngineList(m *peerpb.FleetUpdate) (*fleet.List, error) {
	list := &fleet.List{Engines: make([]fleet.Engine, 0, len(m.GetEngines())), Incomplete: m.GetEnginesIncomplete()}
	for _, e := range m.GetEngines() {
		engine, err := toEngine(e)
		if err != nil {
			return nil, err
		}
		list.Engines = append(list.Engines, engine)
	}
	return list, nil
}
