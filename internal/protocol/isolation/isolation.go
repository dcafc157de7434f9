// Package isolation detects that this process reaches no backend server at all. Its
// failures then speak against its own network path and not against the servers.
package isolation

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/outlier"
)

const (
	// minServers is the number of listed servers, without those that were missing before,
	// below which failures at all of them don't tell the end of the servers from a partition.
	minServers = 3
	// firstProbes is the number of servers that are tried at once after a failure, and
	// maxProbes that of a round that decides whether the process is isolated.
	firstProbes = 4
	maxProbes   = 32
	// probeTimeout bounds one connection attempt: many round trips within a region. A
	// round that takes maxRoundTimeouts times as long shows that this process was
	// suspended, and nothing of the servers.
	probeTimeout     = 100 * time.Millisecond
	maxRoundTimeouts = 2
	// settleTime is the time before each round. A partition doesn't begin at all servers in
	// the same moment: only what is reached at least half of it after a failure counts.
	settleTime = 10 * time.Millisecond
	// roundInterval is the time between two rounds while attempts fail and other servers
	// are reached.
	roundInterval = 25 * time.Millisecond
	// maxConfirmTime bounds how long a failure waits for the verdict.
	maxConfirmTime = time.Second
	// returnInterval is the time between two looks for the end of an isolation, by
	// returnProbes connection attempts each.
	returnInterval = 100 * time.Millisecond
	returnProbes   = 3
	// An isolation ends once one server in returnedPart is reached, or maxReturnTime
	// after the first one.
	returnedPart  = 2
	maxReturnTime = 500 * time.Millisecond
	// sweepInterval is the time between two attempts to reach all servers until then.
	sweepInterval = 20 * time.Millisecond
	// logInterval is the minimum time between two log lines on the begin of an isolation,
	// and between two on the end.
	logInterval = time.Second
)

// Options configures a [Detector].
type Options struct {
	Clock clock.Clock
	// View returns the newest list of servers.
	View func() *fleet.View
	// Reach opens a connection to a server. It may be called concurrently.
	Reach func(ctx context.Context, e fleet.Engine) error
	// Return is like Reach, but the connection must stay open for a while, so that an
	// isolation doesn't end because a middlebox accepts connections that it then resets.
	// If it is nil, Reach is used.
	Return func(ctx context.Context, e fleet.Engine) error
	// Outlier holds the failures of the servers. Those of an isolation are taken back.
	Outlier *outlier.Set
	// OnChange is called after the begin and the end of each isolation, if it is not nil.
	OnChange func(isolated bool)
	Log      hclog.Logger
}

// Detector finds out whether this process is partitioned from all backend servers. A nil
// *Detector is valid and reports none. It is safe for concurrent use; on a request's path
// it costs one atomic load.
type Detector struct {
	options Options
	// wake has an element while a failure waits for a check.
	wake chan struct{}
	// reachable is done while the process is isolated.
	reachable atomic.Pointer[reachable]
	// doubtful is set from a failure until other servers are reached.
	doubtful atomic.Bool

	mu sync.Mutex // guards the fields below
	// failures counts the failures, and cleared is the number of these that were followed
	// by a connection to another server.
	failures, cleared uint64
	// failed holds the incarnations that failed since doubtful was set, and before the
	// outlier records without the failures after cleared.
	failed map[string]bool
	before outlier.Snapshot
	// changed is closed, and replaced, at each verdict.
	changed  chan struct{}
	since    clock.Instant
	onReturn func(Return)
	begun    rateLimitedLog
	ended    rateLimitedLog
}

// reachable is a context and the function that ends it.
type reachable struct {
	context.Context
	end context.CancelFunc
}

// Return describes the end of an isolation.
type Return struct {
	// Reached are the servers that accept connections, and Unreached the others.
	Reached   []fleet.Engine
	Unreached []Unreached
}

// Unreached is a server that accepted no connection while others did.
type Unreached struct {
	fleet.Engine
	Err error
}

// New returns a detector. Its Run method does the checks.
func New(o Options) *Detector {
	if o.Return == nil {
		o.Return = o.Reach
	}
	d := &Detector{options: o, wake: make(chan struct{}, 1), failed: make(map[string]bool), changed: make(chan struct{}), onReturn: func(Return) {}}
	d.setReachable()
	return d
}

// OnReturn sets a function that is called at the end of each isolation, before Isolated
// reports it. It must be called before Run.
func (d *Detector) OnReturn(f func(Return)) {
	if d != nil {
		d.onReturn = f
	}
}

func (d *Detector) setReachable() {
	ctx, end := context.WithCancel(context.Background())
	d.reachable.Store(&reachable{Context: ctx, end: end})
}

// Reachable returns a context that is done once the process is isolated, and from then on
// until it isn't any more.
func (d *Detector) Reachable() context.Context {
	if d == nil {
		return context.Background()
	}
	return d.reachable.Load()
}

// Isolated reports whether the process reaches no server, and so none of a service.
func (d *Detector) Isolated(service string) bool {
	return d != nil && d.reachable.Load().Err() != nil && len(d.options.View().Engines(service)) > 0
}

// Doubtful reports whether the process is isolated, or an attempt has failed and no other
// server has been reached since.
func (d *Detector) Doubtful() bool {
	return d != nil && d.doubtful.Load()
}

// Trusted returns a copy of the outlier records without failures in doubt; it is empty while
// the process is isolated.
func (d *Detector) Trusted() *outlier.Set {
	d.mu.Lock()
	records := outlier.Snapshot{}
	switch {
	case d.reachable.Load().Err() != nil:
	case d.doubtful.Load():
		records = d.before
	default:
		records = d.options.Outlier.Snapshot()
	}
	d.mu.Unlock()
	out := outlier.NewSet(d.options.Clock)
	out.Restore(records)
	return out
}

// Failed records that no connection to a server could be opened, or that one broke off. It
// must be called before the failure is recorded elsewhere.
func (d *Detector) Failed(e fleet.Engine) {
	if d != nil {
		d.fail(e)
	}
}

// fail records a failure and returns its number.
func (d *Detector) fail(e fleet.Engine) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures++
	if d.reachable.Load().Err() != nil {
		return d.failures
	}
	if !d.doubtful.Load() {
		d.before = d.options.Outlier.Snapshot()
		d.doubtful.Store(true)
	}
	d.failed[e.Incarnation()] = true
	select {
	case d.wake <- struct{}{}:
	default:
	}
	return d.failures
}

// Confirm records a failure like Failed. It waits until another server has been reached
// since, so that the failure speaks against its server, and reports false if none is. If too
// few servers are left to tell, it reports true.
func (d *Detector) Confirm(ctx context.Context, e fleet.Engine) bool {
	if d == nil {
		return true
	}
	number := d.fail(e)
	timeout := time.NewTimer(maxConfirmTime)
	defer timeout.Stop()
	for {
		d.mu.Lock()
		cleared, isolated, changed := d.cleared >= number, d.reachable.Load().Err() != nil, d.changed
		d.mu.Unlock()
		if cleared || isolated {
			return !isolated
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// Run checks after failures whether other servers are reached, and during an isolation
// whether it has ended, until ctx ends.
func (d *Detector) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
			d.check(ctx)
		}
	}
}

// check tries other servers until one is reached after the last failure, or none is at all.
func (d *Detector) check(ctx context.Context) {
	for clock.Sleep(ctx, settleTime/2) {
		d.mu.Lock()
		number, records := d.failures, d.options.Outlier.Snapshot()
		d.mu.Unlock()
		if !clock.Sleep(ctx, settleTime/2) {
			return
		}
		switch found, known := d.anyReached(ctx); {
		case !known:
		case !found:
			d.begin()
			d.awaitReturn(ctx)
			return
		case d.clear(number, records):
			return
		default:
			clock.Sleep(ctx, roundInterval)
		}
	}
}

// clear records that a server was reached after the failures up to a number, which are in
// the given records. It reports whether there have been none since.
func (d *Detector) clear(number uint64, records outlier.Snapshot) (last bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cleared, d.before = number, records
	close(d.changed)
	d.changed = make(chan struct{})
	if d.failures > number {
		return false
	}
	d.settle()
	return true
}

// settle ends the doubt. d.mu must be held.
func (d *Detector) settle() {
	select {
	case <-d.wake:
	default:
	}
	d.doubtful.Store(false)
	clear(d.failed)
	d.before = outlier.Snapshot{}
}

// anyReached tries a few servers at which no attempt failed, then as many as may be. known
// is false if the result says nothing.
func (d *Detector) anyReached(ctx context.Context) (found, known bool) {
	listed := shuffled(d.options.View())
	d.mu.Lock()
	present := slices.DeleteFunc(slices.Clone(listed), func(e fleet.Engine) bool { return d.before.Missing(e.ID) })
	others := slices.DeleteFunc(slices.Clone(listed), func(e fleet.Engine) bool { return d.failed[e.Incarnation()] })
	d.mu.Unlock()
	if len(present) < minServers {
		return true, true
	}
	rounds := [][]fleet.Engine{first(others, firstProbes), first(listed, maxProbes)}
	for _, servers := range rounds {
		began := d.options.Clock.Now()
		if len(d.probe(ctx, servers, d.options.Reach, true).Reached) > 0 {
			return true, true
		}
		if ctx.Err() != nil || d.options.Clock.Now().Sub(began) > maxRoundTimeouts*probeTimeout {
			return false, false
		}
	}
	return false, true
}

// probe tries to connect to servers, maxProbes at the same time. If one is enough, it
// returns once one is reached.
func (d *Detector) probe(ctx context.Context, servers []fleet.Engine, reach func(context.Context, fleet.Engine) error, oneIsEnough bool) Return {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make([]error, len(servers))
	var group sync.WaitGroup
	slots := make(chan struct{}, maxProbes)
	for i, e := range servers {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			attempt, end := context.WithTimeout(ctx, probeTimeout)
			defer end()
			if errs[i] = reach(attempt, e); errs[i] == nil && oneIsEnough {
				cancel()
			}
		})
	}
	group.Wait()
	var out Return
	for i, e := range servers {
		if errs[i] == nil {
			out.Reached = append(out.Reached, e)
			continue
		}
		out.Unreached = append(out.Unreached, Unreached{Engine: e, Err: errs[i]})
	}
	return out
}

// begin begins an isolation.
func (d *Detector) begin() {
	view := d.options.View()
	d.mu.Lock()
	d.since = d.options.Clock.Now()
	d.reachable.Load().end()
	close(d.changed)
	d.changed = make(chan struct{})
	d.mu.Unlock()
	if left, ok := d.begun.due(d.since); ok {
		d.options.Log.Warn("servers unreachable from here", "services", services(view), "servers", view.Len(), "left_out", left)
	}
	d.changedTo(true)
}

// awaitReturn tries a few servers again and again until one is reached, then all at once.
func (d *Detector) awaitReturn(ctx context.Context) {
	for clock.Sleep(ctx, returnInterval) {
		listed := shuffled(d.options.View())
		if len(listed) >= minServers && len(d.probe(ctx, first(listed, returnProbes), d.options.Return, true).Reached) == 0 {
			continue
		}
		if d.awaitOthers(ctx) {
			return
		}
	}
}

// awaitOthers ends the isolation once enough servers are reached for the requests of this
// process. It reports false if none is reached any more.
func (d *Detector) awaitOthers(ctx context.Context) bool {
	began := d.options.Clock.Now()
	for ctx.Err() == nil {
		listed := shuffled(d.options.View())
		found := d.probe(ctx, listed, d.options.Return, false)
		late := d.options.Clock.Now().Sub(began) >= maxReturnTime
		switch n := len(found.Reached); {
		case len(listed) < minServers, returnedPart*n >= len(listed), n > 0 && late:
			d.end(found)
			return true
		case n == 0:
			return false
		}
		clock.Sleep(ctx, sweepInterval)
	}
	return true
}

// end ends an isolation: all that was found since the first failure is taken back.
func (d *Detector) end(found Return) {
	d.mu.Lock()
	d.options.Outlier.Restore(d.before)
	d.mu.Unlock()
	d.onReturn(found)
	d.mu.Lock()
	d.settle()
	d.setReachable()
	now := d.options.Clock.Now()
	lasted := now.Sub(d.since)
	d.mu.Unlock()
	if left, ok := d.ended.due(now); ok {
		d.options.Log.Info("servers reachable again", "services", services(d.options.View()), "reached", len(found.Reached),
			"unreached", len(found.Unreached), "ms", lasted.Milliseconds(), "left_out", left)
	}
	d.changedTo(false)
}

func (d *Detector) changedTo(isolated bool) {
	if d.options.OnChange != nil {
		d.options.OnChange(isolated)
	}
}

// rateLimitedLog bounds the lines of one kind. It is not safe for concurrent use.
type rateLimitedLog struct {
	written bool
	at      clock.Instant
	left    int
}

// due reports whether a line may be written, and how many were left out before it.
func (l *rateLimitedLog) due(now clock.Instant) (left int, ok bool) {
	if l.written && now.Sub(l.at) < logInterval {
		l.left++
		return 0, false
	}
	left = l.left
	l.written, l.at, l.left = true, now, 0
	return left, true
}

// shuffled returns the listed servers in random order.
func shuffled(v *fleet.View) []fleet.Engine {
	var all []fleet.Engine
	for e := range v.All() {
		all = append(all, e)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

func first(servers []fleet.Engine, n int) []fleet.Engine {
	return servers[:min(n, len(servers))]
}

// services returns the number of services that have servers.
func services(v *fleet.View) int {
	found := make(map[string]bool)
	for e := range v.All() {
		found[e.Service] = true
	}
	return len(found)
}
