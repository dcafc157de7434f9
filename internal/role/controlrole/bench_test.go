package controlrole

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// startGroup runs three control processes with their files in a folder and
// returns a client of the leader.
func startGroup(b *testing.B, folder string) peerpb.ControlClient {
	b.Helper()
	d := &deployment.Deployment{Name: "bench", Zones: []string{"a"}}
	for i := range 3 {
		d.Control = append(d.Control, deployment.Control{
			Name:         fmt.Sprint(i),
			Zone:         "a",
			PeerAddress:  fmt.Sprintf("127.11.1.%d:7400", i+1),
			AdminAddress: fmt.Sprintf("127.11.1.%d:7401", i+1),
			DataFolder:   filepath.Join(folder, fmt.Sprint(i)),
		})
	}
	log := hclog.NewNullLogger()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	if err := Init(ctx, d, "0", log); err != nil {
		b.Fatal(err)
	}
	for i := range 3 {
		running.Go(func() {
			if err := Run(ctx, d, fmt.Sprint(i), log); err != nil {
				b.Error(err)
			}
		})
	}
	b.Cleanup(func() {
		cancel()
		running.Wait()
	})
	conn, err := grpc.NewClient(d.Control[0].PeerAddress, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	client := peerpb.NewControlClient(conn)
	waitVoters(b, client)
	return client
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

// reserve commits one reservation of the ledger.
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

// BenchmarkCommit measures ledger reservations through three replicas with
// files on disk and gRPC on loopback.
func BenchmarkCommit(b *testing.B) {
	client := startGroup(b, b.TempDir())
	var next atomic.Int64
	for _, writers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("writers=%d", writers), func(b *testing.B) {
			latencies := make([]time.Duration, b.N)
			var taken atomic.Int64
			var group sync.WaitGroup
			for range writers {
				group.Go(func() {
					for i := taken.Add(1) - 1; i < int64(b.N); i = taken.Add(1) - 1 {
						start := time.Now()
						if err := reserve(client, next.Add(1)); err != nil {
							b.Error(err)
							return
						}
						latencies[i] = time.Since(start)
					}
				})
			}
			group.Wait()
			slices.Sort(latencies)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(latencies[b.N/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(latencies[b.N*99/100].Microseconds()), "p99-us")
		})
	}
}
