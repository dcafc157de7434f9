// Package isolation detects that this process reaches no backend server at all. Its
// failures then speak against its own network path and not against the servers.
package isolation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
)

const (
	// minServers is the number of listed servers, without those that were missing before,
	// below which failures at all of them don't distinguish the end of the servers from a
	// partition.
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

// New returns a detector. Its Run method does the checks.
func New(o Options) *Detector {
	if o.Return == nil {
		o.Return = o.Reach
	}
	d := &Detector{options: o, wake: make(chan struct{}, 1), failed: make(map[string]bool), changed: make(chan struct{}), onReturn: func(Return) {}}
	d.setReachable()
	return d
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

// Isolated reports whether the process reaches no server of any service, and the named one has
// servers.
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
// few servers are left to decide, it reports true.
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

// services returns the number of services that have servers.
func services(v *fleet.View) int {
	found := make(map[string]bool)
	for e := range v.All() {
		found[e.Service] = true
	}
	return len(found)
}
