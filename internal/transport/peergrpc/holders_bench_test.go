package peergrpc_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/inforce"
	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/coordination/settingsync"
	"github.com/lagoonshift/lagoonshift/internal/fake/memlog"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

const (
	replicas = 3
	changes  = 5
	// idleTimePerChange times changes is the duration of the measurement without
	// changes.
	idleTimePerChange = 2 * time.Second
)

// traffic counts the bytes and segments that pass through the replicas'
// connections. Each read or write of a small message is about one segment.
type traffic struct {
	bytes, segments atomic.Int64
}

type countedListener struct {
	net.Listener
	traffic *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.traffic}, err
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n)
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}

func (c countedConn) count(n int) {
	c.traffic.bytes.Add(int64(n))
	c.traffic.segments.Add(1)
}

// replicaLog presents a shared log as the log of one of three replicas.
type replicaLog struct {
	*memlog.Log
	id uint64
}

func (l replicaLog) View() replog.View {
	view := l.Log.View()
	view.ReplicaID = l.id
	view.Voters = []uint64{1, 2, 3}
	return view
}

// cluster is three replicas that share one log in memory, so that commits cost
// nothing.
type cluster struct {
	b         *testing.B
	state     *store.Store
	log       *memlog.Log
	tracker   *inforce.Tracker
	traffic   traffic
	addresses []string
	agents    []*settingsync.Agent
}

func newCluster(b *testing.B) *cluster {
	c := &cluster{b: b, state: store.New()}
	c.log = memlog.New(c.state, clock.Boot{}, store.IsSettingsCommand)
	c.tracker = inforce.New(inforce.Options{Clock: clock.Boot{}, Lease: peergrpc.LeaseDuration})
	for id := range uint64(replicas) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := grpc.NewServer()
		control := peergrpc.NewControlServer(replicaLog{c.log, id + 1}, c.state)
		if id == 0 {
			control.SetRenewalObserver(c.tracker)
		}
		control.Register(server)
		go func() { _ = server.Serve(countedListener{listener, &c.traffic}) }()
		b.Cleanup(server.Stop)
		c.addresses = append(c.addresses, listener.Addr().String())
	}
	c.submit(&store.Command{Bootstrap: &settings.Bootstrap{RootTokenSHA256: settings.HashToken("root"), Zones: []string{"a"}}})
	return c
}

func (c *cluster) submit(command *store.Command) store.Result {
	encoded, err := command.Encode()
	if err != nil {
		c.b.Fatal(err)
	}
	applied, err := c.log.Submit(context.Background(), encoded)
	if err != nil {
		c.b.Fatal(err)
	}
	result, err := store.DecodeResult(applied.Result)
	if err != nil {
		c.b.Fatal(err)
	}
	return result
}

// change changes one team and returns the version.
func (c *cluster) change(number, base uint64) uint64 {
	team := fmt.Sprintf(`{"classes":{},"customers":{"north":{"share":%d,"max_concurrent":40},"south":{"share":2},"east":{"share":3},"west":{"share":4}}}`, number)
	result := c.submit(&store.Command{Change: &settings.Change{
		Operator:    settings.RootOperator,
		TokenSHA256: settings.HashToken("root"),
		Number:      number,
		Edits:       []settings.Edit{{Path: "teams/desk", BaseVersion: base, Content: []byte(team)}},
	}})
	if result.Change.Outcome != settings.Accepted {
		c.b.Fatalf("%+v", result.Change)
	}
	return result.Change.Version
}

func (c *cluster) startHolder(ctx context.Context, i int) {
	client, err := peergrpc.DialControl(c.addresses, insecure.NewCredentials())
	if err != nil {
		c.b.Fatal(err)
	}
	c.b.Cleanup(client.Close)
	holder := lease.NewHolder(clock.Boot{})
	agent := settingsync.New(settingsync.Options{
		Self:    member.Member{Name: fmt.Sprintf("entry-%d", i), Incarnation: uint64(i) + 1, Zone: "a", CallerAddress: "10.0.0.1:8080"},
		Control: client,
		Clock:   clock.Boot{},
		Holder:  holder,
		Gate:    lease.NewGate(holder),
		Log:     hclog.NewNullLogger(),
	})
	if err := agent.Start(ctx); err != nil {
		c.b.Fatal(err)
	}
	c.agents = append(c.agents, agent)
	go func() { _ = agent.Run(ctx) }()
}

// waitInForce waits until every holder has the version and the control replica
// reports it as in force, and returns how long each of the two took.
func (c *cluster) waitInForce(version uint64) (held, reported time.Duration) {
	start := time.Now()
	for held == 0 || reported == 0 {
		time.Sleep(time.Millisecond)
		var current *settings.Configuration
		c.state.View(func(tree *settings.Tree, _ *ledger.Ledger) { current = tree.Configuration() })
		c.tracker.Applied(current.Version, current.Members)
		if held == 0 && c.allHold(version) {
			held = time.Since(start)
		}
		if reported == 0 && c.tracker.Report(version).InForce {
			reported = time.Since(start)
		}
	}
	return held, reported
}

func (c *cluster) allHold(version uint64) bool {
	for _, agent := range c.agents {
		if agent.Settings().Load().Version < version {
			return false
		}
	}
	return true
}

func cpuTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHolders measures renewals and changes with many lease holders over
// gRPC on the loopback interface. It needs -benchtime 1x.
func BenchmarkHolders(b *testing.B) {
	for _, holders := range []int{8, 100, 400} {
		b.Run(fmt.Sprint(holders), func(b *testing.B) {
			c := newCluster(b)
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			for i := range holders {
				c.startHolder(ctx, i)
			}
			time.Sleep(peergrpc.LeaseDuration + time.Second)
			c.measure(holders)
		})
	}
}

// measure measures renewals without changes, and then how long changes take to
// be in force.
func (c *cluster) measure(holders int) {
	idleBytes, idleSegments := c.traffic.bytes.Load(), c.traffic.segments.Load()
	used, start := cpuTime(c.b), time.Now()
	time.Sleep(changes * idleTimePerChange)
	seconds := time.Since(start).Seconds()
	renewals := seconds * float64(holders) * replicas / settingsync.RenewInterval.Seconds()
	c.b.ReportMetric(float64(c.traffic.bytes.Load()-idleBytes)/seconds/float64(holders), "B/s/holder")
	c.b.ReportMetric(float64(c.traffic.segments.Load()-idleSegments)/seconds/float64(holders), "segments/s/holder")
	c.b.ReportMetric(float64((cpuTime(c.b)-used).Microseconds())/renewals, "cpu-µs/renewal")

	var held, reported time.Duration
	version := uint64(0)
	for number := range uint64(changes) {
		version = c.change(number+1, version)
		h, r := c.waitInForce(version)
		held, reported = max(held, h), max(reported, r)
	}
	c.b.ReportMetric(held.Seconds(), "s-held-max")
	c.b.ReportMetric(reported.Seconds(), "s-reported-max")
}
