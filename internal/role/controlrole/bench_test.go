package controlrole

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// benchGroup runs three control processes as goroutines, with their data in a
// temporary folder.
type benchGroup struct {
	b          *testing.B
	deployment *deployment.Deployment
	// stop holds a function per replica that stops it gracefully and returns once
	// it has stopped.
	stop [3]func()
	// clients holds one client per replica.
	clients [3]peerpb.ControlClient
}

func startGroup(b *testing.B) *benchGroup {
	b.Helper()
	d := &deployment.Deployment{Name: "bench", Zones: []string{"a"}}
	folder := b.TempDir()
	for i := range 3 {
		d.Control = append(d.Control, deployment.Control{
			Name:         fmt.Sprint(i),
			Zone:         "a",
			PeerAddress:  fmt.Sprintf("127.11.1.%d:7400", i+1),
			AdminAddress: fmt.Sprintf("127.11.1.%d:7401", i+1),
			DataFolder:   filepath.Join(folder, fmt.Sprint(i)),
		})
	}
	if err := Init(context.Background(), d, "0", hclog.NewNullLogger()); err != nil {
		b.Fatal(err)
	}
	g := &benchGroup{b: b, deployment: d}
	for i := range 3 {
		retry := grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: 10 * time.Millisecond, MaxDelay: 10 * time.Millisecond}}
		conn, err := grpc.NewClient(d.Control[i].PeerAddress,
			grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithConnectParams(retry))
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = conn.Close() })
		g.clients[i] = peerpb.NewControlClient(conn)
		g.start(i)
	}
	b.Cleanup(func() {
		for _, stop := range g.stop {
			stop()
		}
	})
	waitVoters(b, g.clients[0])
	return g
}

func (g *benchGroup) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		if err := Run(ctx, g.deployment, fmt.Sprint(i), hclog.NewNullLogger()); err != nil {
			g.b.Error(err)
		}
	})
	g.stop[i] = func() {
		cancel()
		running.Wait()
	}
}

// measureCatchUp returns the time until a replica answers a linearizable read.
func (g *benchGroup) measureCatchUp(i int) time.Duration {
	start := time.Now()
	for {
		_, err := g.clients[i].Settings(context.Background(), &peerpb.SettingsRequest{}, grpc.WaitForReady(true))
		if err == nil {
			return time.Since(start)
		}
	}
}

// commit commits n reservations with the given number of writers and returns
// the sorted latencies.
func (g *benchGroup) commit(next *atomic.Int64, writers, n int) []time.Duration {
	latencies := make([]time.Duration, n)
	var claimed atomic.Int64
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for i := claimed.Add(1) - 1; i < int64(n); i = claimed.Add(1) - 1 {
				start := time.Now()
				if err := reserve(g.clients[0], next.Add(1)); err != nil {
					g.b.Error(err)
					return
				}
				latencies[i] = time.Since(start)
			}
		})
	}
	group.Wait()
	slices.Sort(latencies)
	return latencies
}

// waitVoters waits until all three replicas are voters.
func waitVoters(b *testing.B, client peerpb.ControlClient) {
	b.Helper()
	for range 300 {
		response, err := client.Renew(context.Background(), &peerpb.RenewRequest{})
		if err == nil && len(response.GetVoters()) == 3 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.Fatal("the group did not form")
}

// reserve commits one ledger reservation.
func reserve(client peerpb.ControlClient, n int64) error {
	digest := make([]byte, 32)
	command := store.Command{Reserve: &ledger.Reserve{
		Key:           ledger.Key{Service: "booking", Customer: "customer", IdempotencyKey: fmt.Sprint("key-", n)},
		Attempt:       fmt.Sprint("entry-1/", n),
		Entry:         "entry-1",
		RequestDigest: digest,
	}}
	encoded, err := command.Encode()
	if err != nil {
		return err
	}
	_, err = client.Submit(context.Background(), &peerpb.SubmitRequest{Command: encoded, Forwarded: true})
	return err
}

// BenchmarkCommit measures ledger reservations on three replicas with on-disk
// storage and gRPC over loopback.
func BenchmarkCommit(b *testing.B) {
	g := startGroup(b)
	var next atomic.Int64
	for _, writers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("writers=%d", writers), func(b *testing.B) {
			latencies := g.commit(&next, writers, b.N)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(latencies[b.N/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(latencies[b.N*99/100].Microseconds()), "p99-us")
		})
	}
}

// resourceUse is the CPU time and heap used by this process, in total for all replicas.
type resourceUse struct {
	cpu  time.Duration
	heap uint64
}

func measureUsage(b *testing.B) resourceUse {
	b.Helper()
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return resourceUse{cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), heap: m.HeapAlloc}
}

// folderBytes returns the total size of a replica's files.
func (g *benchGroup) folderBytes(i int) int64 {
	total := int64(0)
	files, err := os.ReadDir(g.deployment.Control[i].DataFolder)
	if err != nil {
		g.b.Fatal(err)
	}
	for _, f := range files {
		if info, err := f.Info(); err == nil {
			total += info.Size()
		}
	}
	return total
}

// BenchmarkGrowth commits reservations in steps and reports the cost per record,
// then the time that a restart with catch-up takes. Run it with -benchtime 1x.
func BenchmarkGrowth(b *testing.B) {
	const writers = 256
	g := startGroup(b)
	var next atomic.Int64
	before := measureUsage(b)
	for _, n := range []int{25_000, 75_000} {
		g.commit(&next, writers, n)
		after := measureUsage(b)
		b.Logf("%d records: heap %d bytes per record and replica, CPU %v per commit and replica, folder %d bytes",
			next.Load(), (after.heap-before.heap)/3/uint64(next.Load()), (after.cpu-before.cpu)/3/time.Duration(next.Load()), g.folderBytes(1))
	}
	for _, missed := range []int{0, 500, 5_000, 50_000} {
		g.stop[2]()
		g.commit(&next, writers, missed)
		g.start(2)
		b.Logf("restarted with %d records, %d of them missed: answers reads after %v", next.Load(), missed, g.measureCatchUp(2))
	}
	start := time.Now()
	g.stop[0]()
	g.measureCatchUp(1)
	b.Logf("leader stopped gracefully: next read answered after %v", time.Since(start))
}
