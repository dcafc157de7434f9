package seededentry

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/notice"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// recordingReplica receives the reports of one entry and sends nothing.
type recordingReplica struct {
	peerpb.UnimplementedFleetServer
	reports chan *peerpb.EntryReport
}

func (r *recordingReplica) Watch(stream grpc.BidiStreamingServer[peerpb.EntryReport, peerpb.FleetUpdate]) error {
	for {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		select {
		case r.reports <- report:
		case <-stream.Context().Done():
			return nil
		}
	}
}

// startWatched returns an agent that watches the returned replica, and a function that ends that.
func startWatched(t *testing.T) (a *Agent, replica *recordingReplica, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	replica = &recordingReplica{reports: make(chan *peerpb.EntryReport)}
	server := grpc.NewServer()
	peerpb.RegisterFleetServer(server, replica)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	c := clock.NewRuntime()
	a = New(Options{
		Name: "entry", Clock: c, Notices: notice.NewBoard(c), Log: hclog.NewNullLogger(),
		Seeds: func() []string { return []string{listener.Addr().String()} },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = a.watcher.Run(ctx) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return a, replica, stop
}

// TestCrashBeforeStopIsReported guards against evidence of the last moments of an entry that is lost with it.
func TestCrashBeforeStopIsReported(t *testing.T) {
	const timeout = 5 * time.Second
	lost := 0
	for range 20 {
		a, replica, stop := startWatched(t)
		<-replica.reports
		a.Quarantine().Crashed(fleet.Engine{ID: "e", Service: "llm"}, quarantine.Suspect{Request: "r"})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			flush, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			a.Flush(flush)
			stop()
		}()
		reported := false
		for running := true; running; {
			select {
			case report := <-replica.reports:
				reported = reported || len(report.GetEvidence()) > 0
			case <-ended:
				running = false
			}
		}
		if !reported {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("evidence of %d of 20 entries that stopped was lost", lost)
	}
}

// TestFlushEndsThoughReplicaIsSilent guards against an entry that doesn't stop because a replica handles no report.
func TestFlushEndsThoughReplicaIsSilent(t *testing.T) {
	a, replica, stop := startWatched(t)
	<-replica.reports // and no further one
	const timeout = 100 * time.Millisecond
	started := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	a.Flush(ctx)
	if took := time.Since(started); took < timeout {
		t.Errorf("Flush returned after %v though the replica has not handled the report", took)
	}
	stop()
}

// TestCrashIsReportedAtOnce guards against evidence that waits for the next regular report, 200 ms, while further servers end.
func TestCrashIsReportedAtOnce(t *testing.T) {
	a, replica, _ := startWatched(t)
	fastest := time.Hour
	for i := range 5 {
		<-replica.reports
		started := time.Now()
		a.Quarantine().Crashed(fleet.Engine{ID: fmt.Sprint("e", i), Service: "llm"}, quarantine.Suspect{Request: "r"})
		for report := <-replica.reports; len(report.GetEvidence()) == 0; {
			report = <-replica.reports
		}
		fastest = min(fastest, time.Since(started))
	}
	if most := 100 * time.Millisecond; fastest > most {
		t.Errorf("a crash was reported after %v at the earliest, want at most %v", fastest, most)
	}
}
