package isolation

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
)

var (
	errRefused = errors.New("connection refused")
	errTimeout = errors.New("timeout")
)

// network holds twelve engines and three servers of a small service.
type network struct {
	*Detector
	outlier *outlier.Set
	view    *fleet.View
	log     bytes.Buffer

	mu sync.Mutex // guards the fields below
	// refuses and hangs hold the servers that don't accept connections, by ID.
	refuses, hangs map[string]bool
	// tries counts connection attempts, and most is the greatest number at once.
	tries, open, most int
}

const roundTrip = time.Millisecond

// newNetwork returns a network whose detector runs until the test ends.
func newNetwork(t *testing.T) *network {
	n := &network{refuses: make(map[string]bool), hangs: make(map[string]bool), outlier: outlier.NewSet(clock.NewRuntime())}
	var servers []fleet.Engine
	for i := range 15 {
		e := fleet.Engine{ID: fmt.Sprint("e", i), Service: "llm"}
		if i >= 12 {
			e.Service = "small"
		}
		servers = append(servers, e)
	}
	n.view = fleet.NewView(servers)
	n.Detector = New(Options{
		Clock: clock.NewRuntime(), View: func() *fleet.View { return n.view }, Reach: n.reach, Outlier: n.outlier,
		Log: hclog.New(&hclog.LoggerOptions{Output: &n.log}),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return n
}

func (n *network) reach(ctx context.Context, e fleet.Engine) error {
	n.mu.Lock()
	n.tries++
	n.open++
	n.most = max(n.most, n.open)
	hangs := n.hangs[e.ID]
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.open--
	}()
	if hangs {
		<-ctx.Done()
		return errTimeout
	}
	if !clock.Sleep(ctx, roundTrip) {
		return errTimeout
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refuses[e.ID] {
		return errRefused
	}
	return nil
}

// set makes servers refuse connections or drop their packets, or neither.
func (n *network) set(refuse, hang func(e fleet.Engine) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.refuses)
	clear(n.hangs)
	for e := range n.view.All() {
		n.refuses[e.ID], n.hangs[e.ID] = refuse(e), hang(e)
	}
}

func all(fleet.Engine) bool  { return true }
func none(fleet.Engine) bool { return false }

func inService(name string) func(fleet.Engine) bool {
	return func(e fleet.Engine) bool { return e.Service == name }
}

// fail has an attempt at a server fail, as a request would report it.
func (n *network) fail(id string) {
	n.Failed(fleet.Engine{ID: id})
	n.outlier.Unreachable(id)
	n.outlier.Failure(id)
}

// TestPartitionIsDetectedInTime guards against a partition that is taken for failures of single servers.
func TestPartitionIsDetectedInTime(t *testing.T) {
	for name, c := range map[string]struct {
		refuse, hang func(fleet.Engine) bool
		most         time.Duration
	}{
		"refused": {all, none, settleTime + 10*roundTrip},
		"hang":    {none, all, settleTime + 2*probeTimeout + 10*roundTrip},
		"both":    {inService("llm"), inService("small"), settleTime + 2*probeTimeout + 10*roundTrip},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t)
				n.set(c.refuse, c.hang)
				began := time.Now()
				n.fail("e0")
				<-n.Reachable().Done()
				if took := time.Since(began); took > c.most || !n.Isolated("llm") || !n.Isolated("small") || n.Isolated("unknown") {
					t.Errorf("isolated after %v for the services llm %t, small %t, unknown %t; want within %v for those with servers", took, n.Isolated("llm"), n.Isolated("small"), n.Isolated("unknown"), c.most)
				}
				n.mu.Lock()
				defer n.mu.Unlock()
				if n.tries > 20 {
					t.Errorf("%d connection attempts, want at most four and one at each server", n.tries)
				}
			})
		})
	}
}

// TestFailuresOfServersAreNoPartition guards against servers that end or fall silent taken for a partition.
func TestFailuresOfServersAreNoPartition(t *testing.T) {
	only := func(id string) func(fleet.Engine) bool { return func(e fleet.Engine) bool { return e.ID == id } }
	for name, c := range map[string]struct {
		refuse, hang func(fleet.Engine) bool
		failed       []string
	}{
		"one server ended":            {only("e3"), none, []string{"e3"}},
		"one server silent":           {none, only("e3"), []string{"e3"}},
		"a small service restarts":    {inService("small"), none, []string{"e12", "e13", "e14"}},
		"all but one server ended":    {func(e fleet.Engine) bool { return e.ID != "e7" }, none, []string{"e1", "e2"}},
		"all but one server silent":   {none, func(e fleet.Engine) bool { return e.ID != "e7" }, []string{"e1", "e2"}},
		"a connection that broke off": {none, none, []string{"e1"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t)
				n.set(c.refuse, c.hang)
				var confirmed sync.WaitGroup
				for range 20 {
					for _, id := range c.failed {
						confirmed.Go(func() {
							if !n.Confirm(t.Context(), fleet.Engine{ID: id}) {
								t.Errorf("the failure of %s doesn't count", id)
							}
						})
					}
					time.Sleep(50 * time.Millisecond)
				}
				confirmed.Wait()
				time.Sleep(time.Second)
				if n.Isolated("llm") || n.Isolated("small") || n.Doubtful() {
					t.Errorf("isolated %t, doubtful %t; want neither", n.Isolated("llm"), n.Doubtful())
				}
			})
		})
	}
}

// TestFailureCountsSoon guards against evidence of real crashes that comes late.
func TestFailureCountsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.set(func(e fleet.Engine) bool { return e.ID == "e3" }, none)
		began := time.Now()
		if !n.Confirm(t.Context(), fleet.Engine{ID: "e3"}) || time.Since(began) > settleTime+2*roundTrip {
			t.Errorf("confirmed after %v, want soon after the first round trip", time.Since(began))
		}
	})
}

// TestPartitionThatSpreadsBlamesNoServer guards against failures that count because the partition begins at some servers a moment later.
func TestPartitionThatSpreadsBlamesNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		go func() {
			for i := range 15 {
				n.mu.Lock()
				n.refuses[fmt.Sprint("e", i)] = true
				n.mu.Unlock()
				time.Sleep(roundTrip / 4)
			}
		}()
		if n.Confirm(t.Context(), fleet.Engine{ID: "e0"}) {
			t.Error("the failure of the first server counts")
		}
	})
}

// TestFailuresOfAPartitionAreTakenBack guards against records that blame sound servers, and hide failing ones, after a partition.
func TestFailuresOfAPartitionAreTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		for range 3 {
			n.outlier.Failure("e9")
		}
		var returned Return
		n.OnReturn(func(r Return) { returned = r })
		n.set(all, none)
		for e := range n.view.All() {
			if n.fail(e.ID); n.Confirm(t.Context(), e) {
				t.Errorf("the failure of %s counts", e.ID)
			}
		}
		if !n.Doubtful() {
			t.Error("not doubtful while isolated")
		}
		n.set(func(e fleet.Engine) bool { return e.ID == "e5" }, none)
		time.Sleep(returnInterval + 5*roundTrip)
		if n.Isolated("llm") || n.Doubtful() {
			t.Error("still isolated or doubtful after the partition")
		}
		if got := n.outlier.Missing(); len(got) > 0 {
			t.Errorf("missing after the partition: %v, want none", got)
		}
		if got := n.outlier.Failing(); !slices.Equal(got, []string{"e9"}) {
			t.Errorf("failing after the partition: %v, want the server that failed before", got)
		}
		if len(returned.Unreached) != 1 || returned.Unreached[0].ID != "e5" || !errors.Is(returned.Unreached[0].Err, errRefused) || len(returned.Reached) != 14 {
			t.Errorf("got %d servers reached and %v unreached, want all but e5", len(returned.Reached), returned.Unreached)
		}
	})
}

// TestFirstServerBackDoesNotEndThePartition guards against all requests at the first server that is reached.
func TestFirstServerBackDoesNotEndThePartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.set(none, all)
		n.fail("e0")
		<-n.Reachable().Done()
		n.set(none, func(e fleet.Engine) bool { return e.ID != "e7" })
		time.Sleep(maxReturnTime)
		if !n.Isolated("llm") {
			t.Error("not isolated though one server of fifteen is reached, want a wait for the others")
		}
		n.set(none, none)
		time.Sleep(2*probeTimeout + sweepInterval)
		if n.Isolated("llm") {
			t.Error("still isolated though all servers are reached")
		}
		n.set(none, all)
		n.fail("e0")
		<-n.Reachable().Done()
		n.set(none, func(e fleet.Engine) bool { return e.ID != "e7" })
		time.Sleep(time.Minute)
		if n.Isolated("llm") {
			t.Error("still isolated though a server has been reached for a minute")
		}
	})
}

// TestProbesAreBounded guards against a process that floods the network while it is cut off.
func TestProbesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.set(all, none)
		for range 1000 {
			n.fail("e0")
		}
		<-n.Reachable().Done()
		for range 1000 {
			n.fail("e1")
		}
		n.mu.Lock()
		n.tries = 0
		n.mu.Unlock()
		time.Sleep(10 * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.tries > 30*10 || n.most > maxProbes {
			t.Errorf("%d connection attempts in 10 s, %d at once; want at most 30 a second and %d at once", n.tries, n.most, maxProbes)
		}
	})
}

// TestProbesOfConstantFailuresAreBounded guards against a flood of connections to sound servers while attempts at one fail.
func TestProbesOfConstantFailuresAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.set(func(e fleet.Engine) bool { return e.ID == "e3" }, none)
		for range 1000 {
			n.fail("e3")
			time.Sleep(time.Millisecond)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.tries > 120 {
			t.Errorf("%d connection attempts in 1 s, want at most 120", n.tries)
		}
	})
}

// TestSuspendedProcessIsNotIsolated guards against timers that all end at once after the process was suspended.
func TestSuspendedProcessIsNotIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		// Four servers have ended; the process is suspended while it tries the others.
		var tries atomic.Int64
		reach, until := n.options.Reach, time.Now().Add(time.Second)
		n.options.Reach = func(ctx context.Context, e fleet.Engine) error {
			if tries.Add(1) <= firstProbes {
				return errRefused
			}
			if time.Now().Before(until) {
				time.Sleep(time.Until(until))
				return errTimeout
			}
			return reach(ctx, e)
		}
		first := make(chan struct{})
		context.AfterFunc(n.Reachable(), func() { close(first) })
		n.fail("e0")
		time.Sleep(2 * time.Second)
		select {
		case <-first:
			t.Error("isolated after it was suspended for a second")
		default:
		}
	})
}

// TestFewServersTellNothing guards against a single server that ends taken for a partition.
func TestFewServersTellNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.view = fleet.NewView([]fleet.Engine{{ID: "e0", Service: "llm"}, {ID: "e1", Service: "llm"}})
		n.set(all, none)
		if !n.Confirm(t.Context(), fleet.Engine{ID: "e0"}) || n.Isolated("llm") {
			t.Error("the failure of one of two servers doesn't count, or the process is isolated")
		}
	})
}

// TestLastServersThatEndAreNoPartition guards against crashes that are no evidence because the other servers had ended before.
func TestLastServersThatEndAreNoPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		ended := make(map[string]bool)
		for i := range 15 {
			id := fmt.Sprint("e", i)
			ended[id] = true
			n.set(func(e fleet.Engine) bool { return ended[e.ID] }, none)
			n.fail(id)
			if !n.Confirm(t.Context(), fleet.Engine{ID: id}) || n.Isolated("llm") {
				t.Errorf("the end of the server number %d doesn't count, or the process is isolated", i+1)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestPartitionIsLoggedOnce guards against a line for each failure.
func TestPartitionIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.set(all, none)
		for range 100 {
			n.fail("e0")
		}
		<-n.Reachable().Done()
		time.Sleep(2 * time.Second)
		n.set(none, none)
		time.Sleep(time.Second)
		synctest.Wait()
		got := n.log.String()
		if strings.Count(got, "servers unreachable from here: services=2 servers=15") != 1 || strings.Count(got, "servers reachable again: services=2 reached=15") != 1 {
			t.Errorf("got log\n%swant one line at the begin and one at the end", got)
		}
	})
}

// TestNoDetectorReportsNothing checks the zero detector.
func TestNoDetectorReportsNothing(t *testing.T) {
	var d *Detector
	d.Failed(fleet.Engine{})
	if d.Isolated("llm") || d.Doubtful() || d.Reachable().Err() != nil || !d.Confirm(t.Context(), fleet.Engine{}) {
		t.Error("a nil detector reports a partition")
	}
}

// TestConstantFailuresHideNoServer guards against servers that are not reported as missing, and records that are lost, while attempts fail all the time.
func TestConstantFailuresHideNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.set(func(e fleet.Engine) bool { return e.ID == "e3" }, none)
		for range 250 {
			n.fail("e3")
			time.Sleep(2 * time.Millisecond)
		}
		if got := n.Trusted().LatelyMissing(); !n.Doubtful() || !slices.Equal(got, []string{"e3"}) {
			t.Errorf("doubtful %t, missing %v; want e3 though the newest failure is in doubt", n.Doubtful(), got)
		}
		n.set(all, none)
		n.fail("e5")
		if got := n.Trusted().LatelyMissing(); !slices.Equal(got, []string{"e3"}) {
			t.Errorf("missing as the cut begins: %v, want e3 alone", got)
		}
		<-n.Reachable().Done()
		if got := n.Trusted().LatelyMissing(); len(got) > 0 {
			t.Errorf("missing while isolated: %v, want none", got)
		}
		n.set(none, none)
		time.Sleep(time.Second)
		if got := n.Trusted().Missing(); !slices.Equal(got, []string{"e3"}) {
			t.Errorf("missing after the partition: %v, want e3, which nobody has reported as back", got)
		}
	})
}
