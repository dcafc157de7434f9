// Package seededentry implements the part of an entry process that obtains
// routes, engines and the load of other entries from control replicas, which it
// finds through seed addresses.
package seededentry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/isolation"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/notice"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/fairshare"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/ratelimit"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/cost"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/prefixdir"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

const (
	// documentRequestTimeout is the time after which a requested document that
	// has not arrived is requested again: several round trips within a region.
	documentRequestTimeout = 250 * time.Millisecond
	// leaderTimeout is the time without load reports from a leader after which
	// load is requested from other replicas. It is longer than the longest
	// interval between two load reports.
	leaderTimeout = 300 * time.Millisecond
	// maxReportInterval is the interval between two reports while no leader is known.
	maxReportInterval = fleet.MaxLoadInterval
	// maxLoadAge is the age at which load reports of other entries are discarded.
	// Prompts are prefilled in less time, so older figures mislead more than
	// having none.
	maxLoadAge = 400 * time.Millisecond
	// loadCheckInterval is the interval at which that age is checked.
	loadCheckInterval = 100 * time.Millisecond
	// maxListAge is the age of the newest list of engines at which an entry reads
	// the list itself: two intervals of the control replicas.
	maxListAge = 2500 * time.Millisecond
	// directListInterval is the interval at which it does so.
	directListInterval = time.Second
)

// Options configures an Agent.
type Options struct {
	Name string
	// Address is the IP:port at which callers reach this entry.
	Address string
	// ForwardAddress is the IP:port at which it takes requests from other entries, or empty.
	ForwardAddress string
	Zone           string
	// Seeds returns peer addresses of control processes, which may change over
	// time.
	Seeds func() []string
	// Decode decodes a document into routes.
	Decode func(content []byte) (*route.Table, error)
	// List reads the list of engines. It is used only while no control replica is
	// connected.
	List func(ctx context.Context) (fleet.List, error)
	// Reach opens a connection to an engine. If it is nil, the entry never counts as
	// isolated.
	Reach func(ctx context.Context, e fleet.Engine) error
	// Return is like Reach, for the end of an isolation. If it is nil, Reach is used.
	Return func(ctx context.Context, e fleet.Engine) error
	// RetryBound bounds the retries of all entries together at one service.
	RetryBound retry.Bound
	// UsageWindow is the length of the windows in which requests of workspaces are counted;
	// zero if they aren't.
	UsageWindow time.Duration
	// Notices holds what engines announced to this entry.
	Notices *notice.Board
	// Metrics receives the gauges of the retry budgets and of isolation. If it is nil,
	// there are none.
	Metrics tally.Scope
	Clock   clock.Clock
	Log     hclog.Logger
}

// Agent exchanges state with the control replicas. It is safe for concurrent use.
type Agent struct {
	options     Options
	incarnation uint64
	tracker     *fleet.Tracker
	uses        *fairshare.Uses
	prefixes    *prefixdir.Directory
	speeds      *cost.Model // nil if speeds aren't learned
	pace        *fleet.PaceCounter
	demand      *fleet.DemandCounter
	outlier     *outlier.Set
	isolation   *isolation.Detector
	notices     *notice.Board
	quarantine  *quarantine.Guard
	watcher     *peergrpc.FleetWatcher
	pool        *peergrpc.Pool
	origins     *Origins

	retries *retry.Accounts
	usage   *usageReporter
	peers   peers
	// isolated reports whether the entry reaches no server of a service.
	isolated func(service string) bool
	// connected returns the number of connected control replicas.
	connected func() int

	// table holds the newest document that has arrived.
	table atomic.Pointer[route.Table]
	view  atomic.Pointer[fleet.View]
	// leader is the source of the last update from a leader, and leaderReportedAt
	// the clock.Instant at which that update arrived.
	leader           atomic.Pointer[string]
	leaderReportedAt atomic.Int64
	// reportInterval is the time.Duration between two reports to the leader.
	reportInterval atomic.Int64
	freshness      freshness
	// otherLoadUnknown is set while the load of the other entries is unknown.
	otherLoadUnknown atomic.Bool
	leaving          atomic.Bool

	mu     sync.Mutex // guards the fields below
	roster *fleet.Roster
	// engines are those of the newest list.
	engines []fleet.Engine
	// listedAt is the time at which the newest list of engines arrived.
	listedAt time.Time
	// pending is the open request for a newer document, if any.
	pending documentRequest
}

// New returns an agent, which Run starts.
func New(o Options) *Agent {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	a := &Agent{
		options:     o,
		incarnation: uint64(o.Clock.Wall().UnixNano()),
		tracker:     fleet.NewTracker(),
		uses:        fairshare.NewUses(),
		prefixes:    prefixdir.New(),
		pace:        fleet.NewPaceCounter(),
		demand:      fleet.NewDemandCounter(o.Clock),
		outlier:     outlier.NewSet(o.Clock),
		notices:     o.Notices,
		quarantine:  quarantine.NewGuard(o.Clock),
		pool:        peergrpc.NewPool(insecure.NewCredentials()),
		roster:      fleet.NewRoster(),
		listedAt:    time.Now(),
	}
	a.retries = retry.NewAccounts(o.Clock, o.RetryBound, func() { a.watcher.Wake() })
	a.quarantine.OnCrash(func() { a.watcher.Wake() })
	a.origins = newOrigins(a)
	a.usage = newUsageReporter(o)
	if o.Reach != nil {
		a.isolation = isolation.New(isolation.Options{
			Clock: o.Clock, View: a.View, Reach: o.Reach, Return: o.Return, Outlier: a.outlier, OnChange: a.isolationChanged, Log: o.Log,
		})
		a.isolationChanged(false)
	}
	a.isolated = a.isolation.Isolated
	a.reportInterval.Store(int64(maxReportInterval))
	a.view.Store(fleet.NewView(nil))
	a.watcher = peergrpc.NewFleetWatcher(peergrpc.WatcherOptions{
		Pool:    a.pool,
		Seeds:   o.Seeds,
		Report:  a.report,
		Deliver: a.deliver,
		Log:     o.Log,
	})
	a.connected = a.watcher.Connected
	return a
}

// Run exchanges state with the control replicas until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	defer a.pool.Close()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.watcher.Run(ctx) })
	group.Go(func() error { return a.origins.run(ctx) })
	group.Go(func() error { return clock.Every(ctx, directListInterval, a.listWithoutControl) })
	group.Go(func() error { return clock.Every(ctx, loadCheckInterval, a.expireOtherLoad) })
	if a.isolation != nil {
		group.Go(func() error { return a.isolation.Run(ctx) })
	}
	budgets := &budgetReporter{agent: a, logged: make(map[string]retry.Usage)}
	group.Go(func() error { return clock.Every(ctx, budgetReportInterval, budgets.report) })
	group.Go(func() error { return clock.Every(ctx, usageMetricsInterval, a.usage.measure) })
	shares := &shareReporter{agent: a, saturated: make(map[string]time.Time)}
	group.Go(func() error { return clock.Every(ctx, shareReportInterval, shares.report) })
	return group.Wait()
}

// View returns the newest list of engines.
func (a *Agent) View() *fleet.View { return a.view.Load() }

// Tracker returns the tracker of the engines' load.
func (a *Agent) Tracker() *fleet.Tracker { return a.tracker }

// ShareSpeeds exchanges what a model learns of engines' speeds with the other entries. It must
// be called before Run. Without a model, nothing is exchanged.
func (a *Agent) ShareSpeeds(m *cost.Model) { a.speeds = m }

// Prefixes returns the directory of engines that hold shared prompt prefixes.
func (a *Agent) Prefixes() *prefixdir.Directory { return a.prefixes }

// Pace returns the counter of this entry's streams.
func (a *Agent) Pace() *fleet.PaceCounter { return a.pace }

// Demand returns the counter of what callers ask for.
func (a *Agent) Demand() *fleet.DemandCounter { return a.demand }

// Outliers returns the set of engines that fail this entry's requests.
func (a *Agent) Outliers() *outlier.Set { return a.outlier }

// Isolation returns the detector of the time in which this entry reaches no engine. It is nil
// if Options.Reach is nil.
func (a *Agent) Isolation() *isolation.Detector { return a.isolation }

// Isolated reports whether this entry reaches no engine.
func (a *Agent) Isolated() bool { return a.isolation.Reachable().Err() != nil }

// isolationChanged is called at the begin and at the end of each isolation.
func (a *Agent) isolationChanged(isolated bool) {
	a.options.Metrics.Gauge("isolated").Update(oneIf(isolated))
}

// Quarantine returns the guard that holds the prompt parts in quarantine.
func (a *Agent) Quarantine() *quarantine.Guard { return a.quarantine }

// Origins returns the record of the software versions that began streams.
func (a *Agent) Origins() *Origins { return a.origins }

// Ready reports whether the entry accepts new work: it is not leaving and knows
// routes and engines.
func (a *Agent) Ready() bool {
	return !a.leaving.Load() && a.Table() != nil && a.view.Load().Len() > 0
}

// Leave makes the entry not ready and reports that to the control replicas, so
// that they drop it from their address answers.
func (a *Agent) Leave() {
	a.leaving.Store(true)
	a.watcher.Wake()
}

// Flush sends the control replicas what they don't know yet and ends the exchange with them.
// It returns once they have it, or ctx ends.
func (a *Agent) Flush(ctx context.Context) { a.watcher.Flush(ctx) }

// Budget returns this entry's account of a service's retry budget.
func (a *Agent) Budget(service string) *retry.Account { return a.retries.Account(service) }

// report returns the next report to the control replica source. Work goes to the
// leader, or to every replica while none is known; holdings, pace and demand go to
// the leader only, evidence of crashes, rate limits, begun streams, retries and usage
// to every replica. first is set for the first report of a watch.
func (a *Agent) report(source string, first bool) peergrpc.Report {
	r := peergrpc.Report{
		RetryUses:  a.retries.Pending(source, first),
		Evidence:   a.quarantine.Report(source, first),
		RateLimits: a.notices.Limits.Pending(source, first),
		Streams:    a.origins.memory.Pending(source, first),
	}
	a.usage.addTo(&r, source, first)
	leader := a.leader.Load()
	r.WantWork = leader == nil || a.leaderTimedOut()
	if r.WantWork || *leader == source {
		r.Work, r.Uses = a.work(), a.uses.Report(time.Now())
	}
	if leader != nil && *leader == source {
		r.Holdings = a.prefixes.TakePending()
		r.Pace = a.pace.Recent()
		r.Demand = a.demand.Recent()
		r.Measured = a.speeds.TakeMeasured()
	}
	r.Name, r.Incarnation = a.options.Name, a.incarnation
	r.Address, r.Zone = a.options.Address, a.options.Zone
	r.Ready = a.Ready()
	if first {
		r.ForwardAddress, r.TakesWorkspaces = a.options.ForwardAddress, true
	}
	if table := a.table.Load(); table != nil {
		r.DocumentVersion = table.Version
		r.UnreachableServices = a.unreachableServices(table)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending.source == source && !a.pending.sent {
		r.WantDocument, a.pending.sent = true, true
	}
	return r
}

// work returns this entry's unfinished work and marks the engines that it finds
// failing or missing, unless its own network path may be the cause, and those that
// announced that they leave.
func (a *Agent) work() fleet.Work {
	w, found := a.tracker.Own(), a.outlier
	if a.isolation != nil {
		found = a.isolation.Trusted()
	}
	for _, engine := range found.Failing() {
		w.Engines[engine] = w.Engines[engine].Add(fleet.Load{FailingEntries: 1})
	}
	for _, engine := range found.LatelyMissing() {
		w.Engines[engine] = w.Engines[engine].Add(fleet.Load{MissingEntries: 1})
	}
	for _, engine := range a.notices.LeavingAmong(a.view.Load()) {
		w.Engines[engine] = w.Engines[engine].Add(fleet.Load{LeavingEntries: 1})
	}
	return w
}

// leaderTimedOut reports whether no leader has sent an update for leaderTimeout.
func (a *Agent) leaderTimedOut() bool { return a.leaderSilentFor() >= leaderTimeout }

// leaderSilentFor returns the time since the last update from a leader.
func (a *Agent) leaderSilentFor() time.Duration {
	return a.options.Clock.Now().Sub(clock.Instant(a.leaderReportedAt.Load()))
}

// deliver applies an update from a control replica.
func (a *Agent) deliver(u peergrpc.Update) {
	a.observeVersion(u.DocumentVersion)
	a.usage.setTime(u)
	a.retries.ObserveProcesses(u.Retries.Processes)
	a.setOtherLoad(u)
	a.peers.apply(u.Source, u.Peers, u.Leads || a.leader.Load() == nil || a.leaderTimedOut())
	a.prefixes.AddRemote(u.Holdings)
	for _, l := range a.notices.Limits.Merge(u.Source, u.RateLimits) {
		a.options.Log.Info("rate limit of a server known", "server", l.Server, "limit", l.Limit.String(), "age_ms", l.Age.Milliseconds(), "source", u.Source)
	}
	if u.PartLists != nil {
		a.quarantine.SetPartLists(u.Source, *u.PartLists)
	}
	if u.Engines != nil {
		a.setEngines(u.Source, *u.Engines)
	}
	if u.Document != nil {
		a.setDocument(u.Source, u.Document)
	}
	a.requestDocument(u)
}

// setOtherLoad applies the load of other entries, and this entry's place among
// them, from the leader, or from any replica while no leader sends updates.
func (a *Agent) setOtherLoad(u peergrpc.Update) {
	switch {
	case u.Leads:
		a.observeLeader()
		a.leader.Store(&u.Source)
		a.reportInterval.Store(int64(u.ReportAfter))
	case !u.HasOthers, !a.leaderTimedOut():
		return
	}
	if u.HasOthers {
		a.tracker.SetOthers(u.Others)
		a.uses.SetOthers(u.OthersUses)
		a.speeds.SetShared(u.Slowness)
	}
	a.tracker.SetPosition(u.Index, u.Entries)
	a.retries.SetDeployment(u.Retries)
	a.notices.Limits.SetPosition(ratelimit.Position{Index: u.Index, Count: u.Entries})
	if a.otherLoadUnknown.CompareAndSwap(true, false) {
		a.options.Log.Info("load of other entries is known again", "source", u.Source)
	}
}

// expireOtherLoad discards the load of other entries once it is older than
// maxLoadAge.
func (a *Agent) expireOtherLoad(context.Context) {
	age := a.tracker.Age()
	if age < maxLoadAge || a.otherLoadUnknown.Swap(true) {
		return
	}
	a.tracker.ForgetOthers()
	a.uses.SetOthers(nil)
	a.options.Log.Warn("load of other entries is unknown", "age_ms", age.Milliseconds())
}

func (a *Agent) setEngines(source string, list fleet.List) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listedAt = time.Now()
	before := a.view.Load()
	a.engines = a.roster.Update(list.Over(a.engines))
	a.origins.setEngines(a.engines)
	view := fleet.NewView(a.engines)
	a.view.Store(view)
	a.tracker.Prune(view)
	a.speeds.SetServers(peergrpc.EngineRuns(a.engines))
	a.notices.Limits.SetView(view)
	a.options.Log.Debug("engines listed", "source", source, "before", before.Len(), "now", view.Len(), "incomplete", list.Incomplete)
}

// listWithoutControl reads the list of engines directly if the newest one is
// older than maxListAge and no control replica is connected.
func (a *Agent) listWithoutControl(ctx context.Context) {
	a.mu.Lock()
	age := time.Since(a.listedAt)
	a.mu.Unlock()
	if age < maxListAge || a.connected() > 0 {
		return
	}
	list, err := a.options.List(ctx)
	if err != nil {
		a.options.Log.Warn("engines not listed", "list_age_ms", age.Milliseconds(), "error", err)
		return
	}
	a.setEngines("list", list)
}
