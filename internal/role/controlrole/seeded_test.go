package controlrole_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/notice"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/role/controlrole"
	"github.com/lagoonshift/lagoonshift/internal/role/seededentry"
)

// catchUp is SeededOptions.CatchUp of the tests.
const catchUp = 4 * time.Second

// await waits until holds returns true and fails the test after 20 s.
func await(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within 20 s: %s", condition)
}

// seededGroup runs control processes that know each other only through seeds, as
// goroutines with their own sockets and data folders.
type seededGroup struct {
	t      *testing.T
	folder string
	// addressPrefix is the first three octets of the processes' IP addresses.
	addressPrefix string
	seeds         []string
	firstStart    bool

	mu        sync.Mutex // guards processes
	processes map[int]*seededProcess
	// entries end the entries.
	entries []func()
}

type seededProcess struct {
	cancel context.CancelFunc
	done   chan struct{}
	// control is nil while the process is not serving.
	control *controlrole.Seeded
}

func newSeededGroup(t *testing.T, addressPrefix string) *seededGroup {
	g := &seededGroup{t: t, folder: t.TempDir(), addressPrefix: addressPrefix, firstStart: true, processes: make(map[int]*seededProcess)}
	for i := range 3 {
		g.seeds = append(g.seeds, g.address(i))
	}
	t.Cleanup(func() {
		for i := range g.processes {
			g.stop(i)
		}
	})
	return g
}

func (g *seededGroup) address(i int) string {
	return fmt.Sprintf("%s.%d:7400", g.addressPrefix, i+1)
}

func (g *seededGroup) dataFolder(i int) string {
	return filepath.Join(g.folder, strconv.Itoa(i))
}

func (g *seededGroup) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &seededProcess{cancel: cancel, done: make(chan struct{})}
	firstStart := g.firstStart
	g.processes[i] = p
	go func() {
		defer close(p.done)
		_ = controlrole.RunSeeded(ctx, controlrole.SeededOptions{
			PeerAddress: g.address(i),
			DataFolder:  g.dataFolder(i),
			Seeds:       func() []string { return g.seeds },
			FirstStart:  func() bool { return firstStart },
			Voters:      3,
			CatchUp:     catchUp,
			Log:         hclog.NewNullLogger(),
		}, func(ctx context.Context, s *controlrole.Seeded) error {
			g.mu.Lock()
			p.control = s
			g.mu.Unlock()
			<-ctx.Done()
			return nil
		})
	}()
}

func (g *seededGroup) stop(i int) {
	p := g.processes[i]
	p.cancel()
	<-p.done
	g.mu.Lock()
	p.control = nil
	g.mu.Unlock()
}

// control returns the running control process i, or nil while it is not serving.
func (g *seededGroup) control(i int) *controlrole.Seeded {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.processes[i].control
}

// putDocument commits a document at process i and retries as an operator would.
func (g *seededGroup) putDocument(i int, version uint64) {
	g.t.Helper()
	await(g.t, fmt.Sprintf("document %d is accepted at %d", version, i), func() bool {
		control := g.control(i)
		if control == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
		defer cancel()
		return control.PutDocument(ctx, version, []byte(strconv.FormatUint(version, 10))) == nil
	})
}

// readsVersion reports whether a linearizable read at process i returns the
// document with the given version.
func (g *seededGroup) readsVersion(i int, version uint64) bool {
	control := g.control(i)
	if control == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
	defer cancel()
	held, err := control.ReadDocument(ctx)
	return err == nil && held.Version == version && string(held.Content) == strconv.FormatUint(version, 10)
}

// startEntry starts an entry that finds the group through its seeds.
func (g *seededGroup) startEntry(name string) *seededentry.Agent {
	a := seededentry.New(seededentry.Options{
		Notices: notice.NewBoard(clock.Boot{}),
		Name:    name,
		Address: name,
		Seeds:   func() []string { return g.seeds },
		Decode: func(content []byte) (*route.Table, error) {
			version, err := strconv.ParseUint(string(content), 10, 64)
			if err != nil {
				return nil, err
			}
			return route.New(version, nil, nil, route.Limits{})
		},
		List:       func(context.Context) (fleet.List, error) { return fleet.List{}, errors.New("no list") },
		RetryBound: retry.Bound{Window: time.Second},
		Clock:      clock.Boot{},
		Log:        hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	g.entries = append(g.entries, stop)
	g.t.Cleanup(stop)
	return a
}

// stopEntries ends all entries.
func (g *seededGroup) stopEntries() {
	for _, stop := range g.entries {
		stop()
	}
	g.entries = nil
}

func version(a *seededentry.Agent) uint64 {
	if table := a.Table(); table != nil {
		return table.Version
	}
	return 0
}

// TestSeededGroupFormsAndInformsEntries starts entries before control processes
// and the group's first replica after another one. The group must still form,
// refuse a document while it has too few voters, and exchange documents, engine
// lists and load with the entries.
func TestSeededGroupFormsAndInformsEntries(t *testing.T) {
	g := newSeededGroup(t, "127.13.1")
	first, second := g.startEntry("entry-1"), g.startEntry("entry-2")
	g.start(2)
	g.start(0)
	await(t, "the first process is serving", func() bool { return g.control(0) != nil })
	if err := g.control(0).PutDocument(t.Context(), 1, []byte("1")); !errors.Is(err, controlrole.ErrTooFewVoters) {
		t.Errorf("PutDocument with too few voters: error %v, want ErrTooFewVoters", err)
	}
	g.start(1)
	g.putDocument(2, 1)
	await(t, "the document is in force", func() bool { return version(first) == 1 && version(second) == 1 })
	g.control(1).SetEngines(fleet.List{Engines: []fleet.Engine{{ID: "e", Service: "s"}}})
	await(t, "an entry is ready", func() bool {
		for _, e := range g.control(1).Entries() {
			if e.Name == "entry-1" && e.Ready && e.DocumentVersion == 1 {
				return true
			}
		}
		return false
	})
	done := first.Tracker().AddWork("e", fleet.Load{PromptTokens: 7000, Streams: 2})
	await(t, "entries know each other's load", func() bool {
		return second.Tracker().Load("e") == fleet.Load{PromptTokens: 7000, Streams: 2}
	})
	if own := first.Tracker().Load("e"); own.PromptTokens != 7000 {
		t.Errorf("the entry's own load is %+v, want 7000 prompt tokens", own)
	}
	done()
	await(t, "finished work is removed from the load", func() bool { return second.Tracker().Load("e") == fleet.Load{} })
	first.Leave()
	await(t, "a leaving entry is not ready", func() bool {
		for _, e := range g.control(1).Entries() {
			if e.Name == "entry-1" {
				return !e.Ready
			}
		}
		return false
	})
}

// TestSeededGroupSurvivesLosses wipes a replica's disk, then removes a VM for
// good so that a learner replaces it, then restarts all processes. Every step must
// keep the committed document readable.
func TestSeededGroupSurvivesLosses(t *testing.T) {
	g := newSeededGroup(t, "127.13.2")
	for i := range 3 {
		g.start(i)
	}
	g.putDocument(0, 1)
	entry := g.startEntry("entry")
	await(t, "the entry has the document", func() bool { return version(entry) == 1 })
	g.firstStart = false

	g.stop(2)
	if err := os.RemoveAll(g.dataFolder(2)); err != nil {
		t.Fatal(err)
	}
	g.start(2)
	await(t, "the wiped replica reads the document", func() bool { return g.readsVersion(2, 1) })
	await(t, "the wiped replica is a voter again", func() bool { return g.control(2).IsVoter() })

	g.start(3) // a learner at another address
	await(t, "the learner reads the document", func() bool { return g.readsVersion(3, 1) })
	if g.control(3).IsVoter() {
		t.Error("a fourth replica is a voter, want three voters")
	}
	g.stop(0)
	g.putDocument(1, 2)
	await(t, "the learner replaced the lost voter", func() bool { return g.control(3).IsVoter() })
	g.stop(1)
	g.putDocument(3, 3)
	await(t, "the entry receives the document committed at the former learner", func() bool { return version(entry) == 3 })

	for _, i := range []int{2, 3} {
		g.stop(i)
	}
	for _, i := range []int{2, 3, 1} {
		g.start(i)
	}
	await(t, "all replicas read the newest document after all were restarted", func() bool { return g.readsVersion(1, 3) && g.readsVersion(2, 3) && g.readsVersion(3, 3) })
}

// TestSeededGroupSurvivesDiskLossAfterReplacement replaces a VM whose successor is
// ready and then lets another one lose its disk. The group must not be left
// without a quorum by the removed VM's vote.
func TestSeededGroupSurvivesDiskLossAfterReplacement(t *testing.T) {
	g := newSeededGroup(t, "127.13.14")
	for i := range 3 {
		g.start(i)
	}
	g.putDocument(0, 1)
	g.firstStart = false
	g.start(3)
	await(t, "the successor reads the document", func() bool { return g.readsVersion(3, 1) })
	g.stop(0)
	g.putDocument(1, 2)
	time.Sleep(catchUp + 300*time.Millisecond)
	g.stop(1)
	if err := os.RemoveAll(g.dataFolder(1)); err != nil {
		t.Fatal(err)
	}
	g.start(1)
	for _, i := range []int{1, 2, 3} {
		await(t, fmt.Sprintf("replica %d reads the document", i), func() bool { return g.readsVersion(i, 2) })
	}
}

// TestInterruptedFirstStartIsRepeated starts with a log without an identity, as
// left by a process that was killed while it formed the group. The group must
// form anyway.
func TestInterruptedFirstStartIsRepeated(t *testing.T) {
	g := newSeededGroup(t, "127.13.3")
	if err := os.MkdirAll(g.dataFolder(0), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(g.dataFolder(0), "log-0000000000000001"), []byte("part of a log"), 0o600); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		g.start(i)
	}
	g.putDocument(0, 1)
}
