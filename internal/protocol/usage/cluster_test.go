package usage_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/duty"
	"github.com/lagoonshift/lagoonshift/internal/coordination/guard"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakegroup"
	"github.com/lagoonshift/lagoonshift/internal/protocol/usage"
	"github.com/lagoonshift/lagoonshift/internal/protocol/walltime"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/state/usagelog"
)

const (
	window = 5 * time.Second
	due    = 10 * time.Second
	lease  = 3 * time.Second
	// callTimeout is how long a call waits for its response.
	callTimeout = 1500 * time.Millisecond
)

var (
	errNoResponse = errors.New("no response")
	errKilled     = errors.New("the process was killed")
)

// call is a report that the fake platform got.
type call struct {
	at      time.Time
	replica int
	token   uint64
	body    string
	refused bool
}

// report is the content of a report.
type report struct {
	Window uint64
	Counts map[string]uint64
}

// cluster is a group of replicas that report usage, entries that count, and a fake platform,
// under virtual time.
type cluster struct {
	t       *testing.T
	group   *fakegroup.Group
	running map[int]*reporting
	// skews is how far the time of day of each replica is ahead.
	skews [3]atomic.Int64
	// entrySkews is the same of each entry.
	entrySkews []atomic.Int64
	counters   []*usage.Counter
	followers  []*walltime.Follower
	stopLoad   context.CancelFunc
	load       sync.WaitGroup

	mu sync.Mutex // guards the fields below
	// beforeWrite, if it is not nil, is called for each call of a replica, once the permit
	// was given and before anything is written.
	beforeWrite func(replica int)
	calls       []call
	// want holds what was counted, by window and workspace.
	want map[uint64]map[string]uint64
	// cutEntries holds the entries that don't reach a replica, by replica, and heals those
	// that are to begin a new watch there.
	cutEntries, heals map[int]map[int]bool
	// responsesLost is set while the responses of the platform get lost, and down while it
	// answers with errors.
	responsesLost, down bool
	// fencing is set if the platform checks tokens; highest is the highest it has seen.
	fencing bool
	highest uint64
}

// reporting is one run of a replica's reporter.
type reporting struct {
	reporter *usage.Reporter
	counts   *usage.Aggregator
	time     *walltime.Estimator
	cancel   context.CancelFunc
	done     chan struct{}
}

// vmClock is the clock of one VM.
type vmClock struct {
	clock.Clock
	skew *atomic.Int64
}

func (c vmClock) Wall() time.Time { return time.Now().Add(time.Duration(c.skew.Load())) }

// newCluster starts three replicas and 12 entries.
func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{t: t, running: make(map[int]*reporting), want: make(map[uint64]map[string]uint64), entrySkews: make([]atomic.Int64, 12)}
	c.cutEntries, c.heals = make(map[int]map[int]bool), make(map[int]map[int]bool)
	c.group = fakegroup.New(t, fakegroup.Options{
		Seed: seed, Timing: raft.Timing{ElectionTimeout: 600 * time.Millisecond, Heartbeat: 80 * time.Millisecond, LeaseMargin: 60 * time.Millisecond},
	})
	for i := range c.entrySkews {
		follower := walltime.NewFollower(vmClock{c.group.Clock(), &c.entrySkews[i]})
		c.followers = append(c.followers, follower)
		c.counters = append(c.counters, usage.NewCounter(window, follower.Now))
	}
	for i := range c.group.Size() {
		c.cutEntries[i], c.heals[i] = make(map[int]bool), make(map[int]bool)
		c.start(i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.stopLoad = cancel
	c.load.Go(func() { c.runEntries(ctx) })
	t.Cleanup(c.stop)
	return c
}

func (c *cluster) stop() {
	c.stopLoad()
	c.load.Wait()
	for i := range c.group.Size() {
		c.group.Thaw(i)
		c.end(i)
	}
}

// runEntries lets servers begin requests and sends the entries' reports every 100 ms.
func (c *cluster) runEntries(ctx context.Context) {
	for step := 0; ctx.Err() == nil; step++ {
		now := time.Now()
		for i, counter := range c.counters {
			workspace := fmt.Sprint("workspace-", (i+step)%4)
			c.mu.Lock()
			k := usage.WindowOf(now, window)
			if c.want[k] == nil {
				c.want[k] = make(map[string]uint64)
			}
			c.want[k][workspace]++
			c.mu.Unlock()
			counter.Began(workspace)
		}
		c.exchange()
		time.Sleep(100 * time.Millisecond)
	}
}

// exchange sends a report of each entry to each replica, and each replica's estimate back.
func (c *cluster) exchange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for r, run := range c.running {
		if !c.group.Running(r) {
			continue
		}
		source := fmt.Sprint("replica-", r)
		for i, counter := range c.counters {
			if c.cutEntries[r][i] {
				continue
			}
			entry := fmt.Sprint("entry-", i)
			run.time.Record(entry, time.Now().Add(time.Duration(c.entrySkews[i].Load())))
			run.counts.Heard(entry, uint64(i+1), true)
			run.counts.Record(uint64(i+1), counter.Pending(source, c.heals[r][i]))
			delete(c.heals[r], i)
			if t, ok := run.time.Now(); ok {
				c.followers[i].Record(source, t)
			}
		}
	}
}

// cutOffEntries cuts the first entries off from a replica, or connects them again.
func (c *cluster) cutOffEntries(replica, entries int, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range entries {
		c.cutEntries[replica][i], c.heals[replica][i] = cut, !cut
	}
}

// start starts a replica's reporter.
func (c *cluster) start(i int) {
	vm := vmClock{c.group.Clock(), &c.skews[i]}
	run := &reporting{time: walltime.NewEstimator(vm), done: make(chan struct{})}
	run.counts = usage.NewAggregator(vm, window, run.time.Now)
	run.reporter = usage.NewReporter(usage.ReporterOptions{
		Window: window, Due: due, MinInterval: 100 * time.Millisecond,
		Now: run.time.Now, Counts: run.counts, History: history{c.group, i},
		Holder: duty.NewHolder(duty.Options{Authority: c.group.Node(i).Authority, QuietPeriod: lease, Clock: vm, Log: hclog.NewNullLogger()}),
		Encode: func(window uint64, counts map[string]uint64) ([]byte, error) {
			return json.Marshal(report{window, counts})
		},
		Send:  func(_ context.Context, p duty.Permit, body []byte) error { return c.send(i, p, body) },
		Clock: vm, Log: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	run.cancel = cancel
	c.mu.Lock()
	c.running[i] = run
	c.mu.Unlock()
	// A replica that has started gets everything that is kept.
	for j, counter := range c.counters {
		run.counts.Record(uint64(j+1), counter.Pending(fmt.Sprint("replica-", i), true))
	}
	go func() {
		defer close(run.done)
		_ = clock.Every(ctx, 100*time.Millisecond, run.reporter.Step)
	}()
}

// end ends a replica's reporter.
func (c *cluster) end(i int) {
	c.mu.Lock()
	run := c.running[i]
	delete(c.running, i)
	c.mu.Unlock()
	if run != nil {
		run.cancel()
		<-run.done
	}
}

// onWrite has a function called before each write to the platform.
func (c *cluster) onWrite(f func(replica int)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeWrite = f
}

// history is a replica's part in the log.
type history struct {
	group   *fakegroup.Group
	replica int
}

func (h history) Usage() *usagelog.Log { return h.group.Store(h.replica).Usage() }

func (h history) CommitUsage(ctx context.Context, u usagelog.Command) (usagelog.Result, error) {
	command := store.Command{Usage: &u}
	encoded, err := command.Encode()
	if err != nil {
		return usagelog.Result{}, err
	}
	applied, err := h.group.Node(h.replica).Submit(ctx, encoded)
	if err != nil {
		return usagelog.Result{}, err
	}
	result, err := store.DecodeResult(applied.Result)
	if err != nil {
		return usagelog.Result{}, err
	}
	return *result.Usage, nil
}

// send makes a call of a replica to the fake platform, over a guarded connection.
func (c *cluster) send(replica int, p duty.Permit, body []byte) error {
	c.mu.Lock()
	beforeWrite := c.beforeWrite
	c.mu.Unlock()
	if beforeWrite != nil {
		beforeWrite(replica)
	}
	if !c.group.Running(replica) {
		return errKilled
	}
	wire := &platformConn{cluster: c, replica: replica, token: p.Token}
	if _, err := guard.NewConn(wire, guard.ClockCheck{Clock: c.group.Clock()}, p.Until).Write(body); err != nil {
		return err
	}
	c.mu.Lock()
	lost, down := c.responsesLost, c.down
	c.mu.Unlock()
	switch {
	case lost:
		time.Sleep(callTimeout)
		return errNoResponse
	case wire.refused:
		return usage.ErrRefused
	case down:
		return errors.New("status 503")
	}
	return nil
}

// platformConn is a connection to the fake platform; each write is a report.
type platformConn struct {
	net.Conn
	cluster *cluster
	replica int
	token   uint64
	refused bool
}

func (p *platformConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (p *platformConn) Write(body []byte) (int, error) {
	c := p.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	p.refused = c.fencing && p.token < c.highest
	c.highest = max(c.highest, p.token)
	c.calls = append(c.calls, call{at: time.Now(), replica: p.replica, token: p.token, body: string(body), refused: p.refused})
	return len(body), nil
}

// leaderReports waits until the leader has sent a report, and returns its number.
func (c *cluster) leaderReports() int {
	c.t.Helper()
	for range 600 {
		c.mu.Lock()
		calls := c.calls
		c.mu.Unlock()
		if leader := c.group.CurrentLeader(); len(calls) > 0 && leader >= 0 && calls[len(calls)-1].replica == leader {
			return leader
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatal("no report of the leader within a minute")
	return -1
}

// received returns the calls so far.
func (c *cluster) received() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]call{}, c.calls...)
}

// verify checks the rules on reports: one content for each window, the right counts, no
// window left out, tokens that grow, and quiet periods between holders. Reports are due
// within the given time of the end of their windows.
func (c *cluster) verify(within time.Duration) {
	c.t.Helper()
	calls := c.received()
	bodies, first := make(map[uint64]string), make(map[uint64]time.Time)
	lowest, highest := uint64(1<<63), uint64(0)
	for i, call := range calls {
		var r report
		if err := json.Unmarshal([]byte(call.body), &r); err != nil {
			c.t.Fatal(err)
		}
		if held, ok := bodies[r.Window]; ok && held != call.body {
			c.t.Errorf("window %d was reported as %s and as %s", r.Window, held, call.body)
		}
		if first[r.Window].IsZero() {
			bodies[r.Window], first[r.Window] = call.body, call.at
			lowest, highest = min(lowest, r.Window), max(highest, r.Window)
			if late := call.at.Sub(usage.EndOf(r.Window, window)); late > within {
				c.t.Errorf("window %d was reported %v after its end, want at most %v", r.Window, late, within)
			}
			if !maps.Equal(r.Counts, c.want[r.Window]) {
				c.t.Errorf("window %d was reported with %v, want %v", r.Window, r.Counts, c.want[r.Window])
			}
		}
		if i == 0 {
			continue
		}
		if before := calls[i-1]; call.token < before.token {
			c.t.Errorf("call with token %d at %v after one with %d", call.token, call.at, before.token)
		} else if pause := call.at.Sub(before.at); call.token > before.token && pause < lease {
			c.t.Errorf("holder with token %d calls %v after the one with %d, want a lease in between", call.token, pause, before.token)
		}
	}
	for k := lowest; k <= highest; k++ {
		if bodies[k] == "" {
			c.t.Errorf("window %d was not reported", k)
		}
	}
	if newest := usage.WindowOf(time.Now().Add(-within), window); highest+1 < newest {
		c.t.Errorf("the newest window reported is %d, want at least %d", highest, newest-1)
	}
}

// undelivered returns the number of reports that the log doesn't have as delivered.
func (c *cluster) undelivered() int {
	return len(c.group.Store(c.group.Leader()).Usage().Undelivered())
}
