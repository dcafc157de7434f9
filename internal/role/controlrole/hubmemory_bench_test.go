package controlrole

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	enginefleet "github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/usage"
	"github.com/lagoonshift/lagoonshift/internal/protocol/walltime"
	"github.com/lagoonshift/lagoonshift/internal/state/document"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

const (
	// entriesVariable holds the arguments of the process of BenchmarkHubMemory that runs the
	// entries, so that the other one has the memory of the hub alone.
	entriesVariable = "LAGOONSHIFT_BENCH_ENTRIES"
	// hubMemoryLimit is the runtime's limit in a control process that may use 280 MB.
	hubMemoryLimit = 168 << 20
	// loadedPerEntry is the number of servers that an entry reports work at.
	loadedPerEntry = 40
	hubServices    = 30
	// rewatchDelay is the pause of an entry before it opens a watch again.
	rewatchDelay = 200 * time.Millisecond
)

// hubSize is the size of a deployment in BenchmarkHubMemory.
type hubSize struct {
	entries, servers int
	// leads is set if the hub is that of the leader, and limits if all servers announce rate
	// limits.
	leads, limits bool
}

func hubServer(i int) enginefleet.Engine {
	return enginefleet.Engine{
		ID: fmt.Sprintf("i-%017x", uint64(i)*0x9e3779b97f4a7c15>>4), StartedMs: int64(1_700_000_000_000 + i), Service: fmt.Sprintf("service-%d", i%hubServices),
		Address: fmt.Sprintf("10.%d.%d.7:8080", i>>8, i&255), Zone: fmt.Sprintf("zone-%d", i%5), Version: "2026.11.1", Slots: 24,
	}
}

// BenchmarkHubMemory connects all entries of a deployment to a hub at once, over the loopback
// interface, and then lets them exchange loads while the list of servers changes. It reports
// the process's resident memory at its highest and at the end, the live heap by entry and by
// pair of entry and server, and the processor time. MB-before is what the process used before.
// On a busy machine entries lose their watches and connect again, as entries-end shows. Run it
// with -benchtime 1x.
func BenchmarkHubMemory(b *testing.B) {
	if arguments := os.Getenv(entriesVariable); arguments != "" {
		runHubEntries(b, arguments)
		return
	}
	for _, size := range []hubSize{
		{entries: 97, servers: 1000, leads: true},
		{entries: 295, servers: 2999, leads: true},
		{entries: 295, servers: 2999},
		{entries: 295, servers: 2999, leads: true, limits: true},
	} {
		b.Run(fmt.Sprintf("entries=%d/servers=%d/leads=%t/limits=%t", size.entries, size.servers, size.leads, size.limits), func(b *testing.B) {
			for range b.N {
				measureHub(b, size)
			}
		})
	}
}

func measureHub(b *testing.B, size hubSize) {
	const duration, connectTimeout = 10 * time.Second, 5 * time.Second
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(hubMemoryLimit))
	before := settledMemory(b)
	resetHighest(b)
	b.ReportMetric(residentMB(b, "VmRSS"), "MB-before")
	hub, address, stop := startHub(b, size)
	defer stop()
	list := enginefleet.List{}
	for i := range size.servers {
		list.Engines = append(list.Engines, hubServer(i))
	}
	hub.SetEngines(list)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	defer startHubEntries(b, ctx, size, address)()
	for deadline := time.Now().Add(connectTimeout); len(hub.Entries()) < size.entries && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	b.ReportMetric(residentMB(b, "VmHWM"), "MB-connecting")
	used, start := processorTime(b), time.Now()
	for i := 0; time.Since(start) < duration; i++ {
		list.Engines = append(list.Engines[1:len(list.Engines):len(list.Engines)], hubServer(size.servers+i))
		hub.SetEngines(list)
		hub.Loads()
		time.Sleep(time.Second)
	}
	b.ReportMetric((processorTime(b)-used).Seconds()/time.Since(start).Seconds()*100, "%cpu")
	b.ReportMetric(residentMB(b, "VmHWM"), "MB-highest")
	b.ReportMetric(residentMB(b, "VmRSS"), "MB-end")
	b.ReportMetric(float64(len(hub.Entries())), "entries-end")
	after := settledMemory(b)
	heap := float64(after.HeapAlloc) - float64(before.HeapAlloc)
	b.ReportMetric(heap/1e6, "MB-heap")
	b.ReportMetric((float64(after.StackInuse)-float64(before.StackInuse))/1e6, "MB-stacks")
	b.ReportMetric(heap/float64(size.entries), "heap-B/entry")
	b.ReportMetric(heap/float64(size.entries*size.servers), "heap-B/pair")
}

// startHub starts a hub behind the server of a control process.
func startHub(b *testing.B, size hubSize) (hub *peergrpc.FleetHub, address string, stop func()) {
	b.Helper()
	content := make([]byte, 16<<10)
	for i := range content {
		content[i] = byte(rand.Uint32())
	}
	held := document.Document{Version: 1, Content: []byte(hex.EncodeToString(content))}
	trueTime := walltime.NewEstimator(clock.Boot{})
	hub = peergrpc.NewFleetHub(peergrpc.HubOptions{
		ReplicaID:        1,
		Document:         func() document.Document { return held },
		ControlAddresses: func() []string { return []string{address} },
		Leads:            func() bool { return size.leads },
		Quarantine:       quarantine.NewDetector(clock.Boot{}, hclog.NewNullLogger()),
		Retries:          retry.NewAggregator(clock.Boot{}, retry.Bound{Share: 0.1, Slack: 10, Window: 10 * time.Second}),
		Usage:            usage.NewAggregator(clock.Boot{}, 10*time.Second, trueTime.Now),
		TrueTime:         trueTime,
		Log:              hclog.NewNullLogger(),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address = listener.Addr().String()
	server := newPeerServer(insecure.NewCredentials())
	hub.Register(server.Server)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(func() { _ = hub.Run(ctx) })
	return hub, address, func() {
		cancel()
		hub.Stop()
		server.Stop()
		running.Wait()
	}
}

// startHubEntries starts the process that runs the entries, and returns a function that ends it.
func startHubEntries(b *testing.B, ctx context.Context, size hubSize, address string) (stop func()) {
	b.Helper()
	child := exec.CommandContext(ctx, os.Args[0], "-test.run=^$", "-test.bench=^BenchmarkHubMemory$", "-test.benchtime=1x")
	child.Env = append(os.Environ(), fmt.Sprintf("%s=%s %d %d %t %t", entriesVariable, address, size.entries, size.servers, size.leads, size.limits))
	child.Stderr = os.Stderr
	if err := child.Start(); err != nil {
		b.Fatal(err)
	}
	return func() {
		_ = child.Process.Kill()
		_ = child.Wait()
	}
}

// runHubEntries runs entries until the process is ended.
func runHubEntries(b *testing.B, arguments string) {
	var address string
	var size hubSize
	if _, err := fmt.Sscan(arguments, &address, &size.entries, &size.servers, &size.leads, &size.limits); err != nil {
		b.Fatal(err)
	}
	var running sync.WaitGroup
	for i := range size.entries {
		running.Go(func() {
			for {
				err := runHubEntry(address, i, size)
				b.Logf("entry %d: %v", i, err)
				time.Sleep(rewatchDelay)
			}
		})
	}
	running.Wait()
}

// runHubEntry reports to a hub as an entry does: all it knows first, then its work at each
// interval that the hub names.
func runHubEntry(address string, number int, size hubSize) error {
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := peerpb.NewFleetClient(conn).Watch(context.Background())
	if err != nil {
		return err
	}
	updates, ended := make(chan *peerpb.FleetUpdate, 1), make(chan error, 1)
	go func() {
		for {
			m, err := stream.Recv()
			if err != nil {
				ended <- err
				return
			}
			updates <- m
		}
	}()
	interval := enginefleet.MaxLoadInterval
	reports := time.NewTicker(interval)
	for sent := uint64(0); ; {
		sent++
		if stream.Send(hubReport(number, sent, size)) != nil {
			return <-ended
		}
		for waiting := true; waiting; {
			select {
			case err := <-ended:
				return err
			case m := <-updates:
				if next := time.Duration(m.GetReportMs()) * time.Millisecond; next != interval {
					interval = next
					reports.Reset(interval)
				}
			case <-reports.C:
				waiting = false
			}
		}
	}
}

func hubReport(number int, report uint64, size hubSize) *peerpb.EntryReport {
	m := &peerpb.EntryReport{
		Name: fmt.Sprintf("entry-%d", number), Incarnation: uint64(number + 1), Address: fmt.Sprintf("10.0.%d.%d:80", number>>8, number&255),
		Zone: fmt.Sprintf("zone-%d", number%5), Ready: true, DocumentVersion: 1, Number: report, WallMs: time.Now().UnixMilli(),
	}
	first := report == 1
	if first {
		m.TakesDigests, m.TakesWorkspaces, m.WantDocument, m.ForwardAddress = true, true, true, m.GetAddress()
	}
	for service := range hubServices {
		if first || report%5 == 0 {
			use := &peerpb.RetryUse{Service: fmt.Sprintf("service-%d", service), Requests: 10 * report, Retries: report}
			if first {
				use.RecentRequests, use.RecentRetries = make([]uint32, 10), make([]uint32, 10)
			}
			m.RetryUses = append(m.RetryUses, use)
		}
	}
	if first && size.limits && number == 0 {
		for i := range size.servers {
			m.RateLimits = append(m.RateLimits, &peerpb.RateLimit{Server: hubServer(i).Incarnation(), Limited: true, PerSecond: 2.9})
		}
	}
	if !size.leads {
		return m
	}
	m.Waiting, m.Pace = make(map[string]uint64), make(map[string]*peerpb.Pace)
	for service := range hubServices {
		name := fmt.Sprintf("service-%d", service)
		m.Pace[name] = &peerpb.Pace{Ended: 10, Tight: 1}
		m.Demand = append(m.Demand, &peerpb.ServiceDemand{Service: name, IntervalMs: 1000, Requests: 12, PromptTokens: 9000})
	}
	for range loadedPerEntry {
		m.Loads = append(m.Loads, &peerpb.EngineLoad{Engine: hubServer(rand.IntN(size.servers)).ID, Streams: 2, Calls: 1, PromptTokens: rand.Uint64N(5000), KvTokens: 9000})
	}
	return m
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// settledMemory returns the memory in use after garbage and pooled buffers were dropped, and
// returns free memory to the system.
func settledMemory(b *testing.B) runtime.MemStats {
	b.Helper()
	runtime.GC()
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m
}

// resetHighest makes VmHWM count from now.
func resetHighest(b *testing.B) {
	b.Helper()
	if err := os.WriteFile("/proc/self/clear_refs", []byte("5"), 0); err != nil {
		b.Fatal(err)
	}
}

// residentMB returns a field of /proc/self/status in MB.
func residentMB(b *testing.B, field string) float64 {
	b.Helper()
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, field+":"); found {
			kB, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			if err != nil {
				b.Fatal(err)
			}
			return float64(kB) * 1024 / 1e6
		}
	}
	b.Fatalf("no %s", field)
	return 0
}
