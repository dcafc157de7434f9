package controlrole_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/role/controlrole"
	"github.com/lagoonshift/lagoonshift/internal/role/seededentry"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
	"github.com/lagoonshift/lagoonshift/internal/state/snapshot"
)

// originGroup is a control group with entries, and a list of engines.
type originGroup struct {
	*seededGroup
	engines []fleet.Engine
	// first is set if the control processes are those of the system's first start.
	first bool

	listing sync.Mutex // guards listed
	// listed holds the list that each control process got last. It is repeated, as a
	// control process reads the list of engines again and again.
	listed map[*controlrole.Seeded]fleet.List
}

// newOriginGroup returns a group whose control processes have just started, for the
// first time if first is set.
func newOriginGroup(t *testing.T, addressPrefix string, first bool, engines ...fleet.Engine) *originGroup {
	g := &originGroup{seededGroup: newSeededGroup(t, addressPrefix), engines: engines, first: first, listed: make(map[*controlrole.Seeded]fleet.List)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = clock.Every(ctx, listInterval, func(context.Context) { g.repeatLists() }) }()
	for i := range 3 {
		g.start(i)
	}
	g.putDocument(0, 1)
	g.firstStart = false
	if !g.first {
		g.restartWithoutFiles()
	}
	g.list()
	return g
}

// restartWithoutFiles restarts all control processes, which have lost the origins.
func (g *originGroup) restartWithoutFiles() {
	for i := range 3 {
		g.stop(i)
		if err := os.RemoveAll(filepath.Join(g.dataFolder(i), "origins")); err != nil {
			g.t.Fatal(err)
		}
	}
	for i := range 3 {
		g.start(i)
	}
	for i := range 3 {
		await(g.t, "the restarted control process is serving", func() bool { return g.control(i) != nil })
	}
}

// listInterval is the interval at which control processes read the list of engines.
const listInterval = time.Second

// list gives all control processes the list of engines.
func (g *originGroup) list() {
	for i := range 3 {
		if c := g.control(i); c != nil {
			g.listAt(c, g.engines)
		}
	}
}

// listAt gives one control process a list of engines.
func (g *originGroup) listAt(c *controlrole.Seeded, engines []fleet.Engine) {
	g.listing.Lock()
	defer g.listing.Unlock()
	list := fleet.List{Engines: engines}
	c.SetEngines(list)
	g.listed[c] = list
}

func (g *originGroup) repeatLists() {
	g.listing.Lock()
	defer g.listing.Unlock()
	for c, list := range g.listed {
		c.SetEngines(list)
	}
}

// startReady starts an entry and waits until it accepts requests and is connected to
// all control processes.
func (g *originGroup) startReady(name string) *seededentry.Agent {
	a := g.startEntry(name)
	g.awaitConnected(name, 0, 1, 2)
	await(g.t, name+" is ready", a.Ready)
	return a
}

func (g *originGroup) awaitConnected(name string, controls ...int) {
	g.t.Helper()
	for _, i := range controls {
		await(g.t, fmt.Sprintf("%s is connected to %d", name, i), func() bool {
			c := g.control(i)
			if c == nil {
				return false
			}
			for _, e := range c.Entries() {
				if e.Name == name {
					return true
				}
			}
			return false
		})
	}
}

// awaitFound waits until an entry names the version that began a stream.
func (g *originGroup) awaitFound(a *seededentry.Agent, request, want string) {
	g.t.Helper()
	await(g.t, fmt.Sprintf("%s began request %q", want, request), func() bool {
		got, found := a.Origins().Find(g.t.Context(), "s", request)
		if found && got != want {
			g.t.Fatalf("request %q: got version %q, want %q", request, got, want)
		}
		return found
	})
}

func (g *originGroup) wantUnknown(a *seededentry.Agent, request string) {
	g.t.Helper()
	if got, found := a.Origins().Find(g.t.Context(), "s", request); found {
		g.t.Errorf("request %q: got version %q, want none", request, got)
	}
}

func engineOf(version string, age time.Duration) fleet.Engine {
	return fleet.Engine{ID: version, Service: "s", Version: version, StartedMs: time.Now().Add(-age).UnixMilli()}
}

// TestOriginsOutliveAllEntries replaces all entries at once while two versions are
// listed, and then the control processes one after the other. New entries must find
// the version of every stream that the old ones reported, and of no other one.
func TestOriginsOutliveAllEntries(t *testing.T) {
	g := newOriginGroup(t, "127.13.4", false, engineOf("v1", time.Hour), engineOf("v2", time.Hour))
	first := g.startReady("entry-1")
	first.Origins().Began("s", "r1", "v1")
	first.Origins().Began("s", "r2", "v2")
	other := g.startReady("entry-2")
	g.awaitFound(other, "r1", "v1")
	g.awaitFound(other, "r2", "v2")
	g.wantUnknown(other, "r3")
	g.wantUnknown(other, "")

	g.stopEntries()
	fresh := g.startReady("entry-3")
	g.awaitFound(fresh, "r1", "v1")
	g.wantUnknown(fresh, "r3")

	for i := range 3 {
		g.stop(i)
		g.start(i)
		await(t, "the restarted control process is serving", func() bool { return g.control(i) != nil })
		g.list()
		g.awaitConnected("entry-3", i)
	}
	last := g.startReady("entry-4")
	g.awaitFound(last, "r1", "v1")
	g.wantUnknown(last, "r3")
}

// TestStreamsOfTheOnlyVersionGoOnAfterPowerLoss checks that processes that have all
// just started let streams of a service with one version go on, until a second
// version is listed.
func TestStreamsOfTheOnlyVersionGoOnAfterPowerLoss(t *testing.T) {
	g := newOriginGroup(t, "127.13.5", false, engineOf("v1", time.Hour))
	a := g.startReady("entry-1")
	g.awaitFound(a, "unseen", "v1")
	g.awaitFound(a, "", "v1")
	a.Origins().Began("s", "r1", "v1")
	g.engines = append(g.engines, engineOf("v2", time.Second))
	g.list()
	await(t, "the second version is listed at the entry", func() bool { return a.View().Len() == 2 })
	g.wantUnknown(a, "another")
	b := g.startReady("entry-2")
	g.awaitFound(b, "r1", "v1") // reported only once there was a second version
	g.wantUnknown(b, "another")
}

// TestRecentStartsAreNoEvidence checks that processes that have all just started
// know no origin while servers have started recently: these may have replaced
// servers of another version.
func TestRecentStartsAreNoEvidence(t *testing.T) {
	g := newOriginGroup(t, "127.13.6", false, engineOf("v1", time.Second))
	a := g.startReady("entry-1")
	g.wantUnknown(a, "unseen")
	a.Origins().Began("s", "r1", "v1")
	g.awaitFound(g.startReady("entry-2"), "r1", "v1")
}

// TestNewVersionAtOneReplicaIsSeenByAll checks that an entry that still has a list
// with one version doesn't rely on it once a control process has a newer list.
func TestNewVersionAtOneReplicaIsSeenByAll(t *testing.T) {
	g := newOriginGroup(t, "127.13.7", false, engineOf("v1", time.Hour))
	a := g.startReady("entry-1")
	g.awaitFound(a, "unseen", "v1")
	g.listAt(g.control(2), append(g.engines, engineOf("v2", time.Second)))
	g.wantUnknown(a, "another")
}

// TestOwnListIsNoEvidenceOfOtherEntries guards against joining two versions at an entry
// whose list is old, because the control processes that answer know no list yet.
func TestOwnListIsNoEvidenceOfOtherEntries(t *testing.T) {
	g := newOriginGroup(t, "127.13.15", false, engineOf("v1", time.Hour))
	a := g.startReady("entry-1")
	g.awaitFound(a, "unseen", "v1")
	g.restartWithoutFiles()
	g.awaitConnected("entry-1", 0, 1, 2)
	g.wantUnknown(a, "another")
	g.list()
	g.awaitFound(a, "another", "v1")
}

// TestOriginsOutliveAllProcesses restarts all control processes and replaces all
// entries at once while two versions are listed.
func TestOriginsOutliveAllProcesses(t *testing.T) {
	g := newOriginGroup(t, "127.13.8", false, engineOf("v1", time.Hour), engineOf("v2", time.Hour))
	a := g.startReady("entry-1")
	a.Origins().Began("s", "r1", "v1")
	g.awaitFound(g.startReady("entry-2"), "r1", "v1")
	await(t, "the record is on disk", func() bool { return g.savedStreams(0) == 1 && g.savedStreams(1) == 1 && g.savedStreams(2) == 1 })
	g.stopEntries()
	for i := range 3 {
		g.stop(i)
	}
	// The second version has left meanwhile.
	g.engines = []fleet.Engine{engineOf("v1", time.Hour)}
	for i := range 3 {
		g.start(i)
	}
	for i := range 3 {
		await(t, "the restarted control process is serving", func() bool { return g.control(i) != nil })
	}
	g.list()
	b := g.startReady("entry-3")
	g.awaitFound(b, "r1", "v1")
	g.wantUnknown(b, "another")
	g.wantUnknown(b, "")
}

// savedStreams returns the number of streams in the file of a control process.
func (g *originGroup) savedStreams(i int) (n int) {
	folder, err := disk.Open(g.dataFolder(i))
	if err != nil {
		return 0
	}
	content, err := snapshot.Load(folder, "origins", "")
	if err != nil {
		return 0
	}
	var saved struct {
		Streams []struct {
			IDs []uint64 `cbor:"2,keyasint"`
		} `cbor:"2,keyasint"`
	}
	if err := cbor.Unmarshal(content, &saved); err != nil {
		g.t.Fatal(err)
	}
	for _, s := range saved.Streams {
		n += len(s.IDs)
	}
	return n
}

// TestDamagedOriginsAreIgnored checks that a control process starts with a damaged
// file of origins, and knows none.
func TestDamagedOriginsAreIgnored(t *testing.T) {
	g := newSeededGroup(t, "127.13.9")
	for i := range 3 {
		g.start(i)
	}
	g.putDocument(0, 1)
	g.firstStart = false
	for i := range 3 {
		g.stop(i)
		if err := os.WriteFile(filepath.Join(g.dataFolder(i), "origins"), []byte("no origins"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 3 {
		g.start(i)
	}
	await(t, "the document is read", func() bool { return g.readsVersion(0, 1) })
	og := &originGroup{seededGroup: g, engines: []fleet.Engine{engineOf("v1", time.Second)}, listed: make(map[*controlrole.Seeded]fleet.List)}
	og.list()
	og.wantUnknown(og.startReady("entry-1"), "r1")
}

// TestNewSystemKnowsItsVersions checks that streams of servers that have just started
// go on if the system started for the first time, also after a restart of all
// processes, until a second version is listed.
func TestNewSystemKnowsItsVersions(t *testing.T) {
	g := newOriginGroup(t, "127.13.10", true, engineOf("v1", time.Second))
	g.awaitFound(g.startReady("entry-1"), "", "v1")
	await(t, "the origins are on disk", func() bool {
		for i := range 3 {
			content, err := os.ReadFile(filepath.Join(g.dataFolder(i), "origins"))
			if err != nil || !bytes.Contains(content, []byte("v1")) {
				return false
			}
		}
		return true
	})
	g.stopEntries()
	for i := range 3 {
		g.stop(i)
	}
	for i := range 3 {
		g.start(i)
	}
	for i := range 3 {
		await(t, "the restarted control process is serving", func() bool { return g.control(i) != nil })
	}
	g.list()
	a := g.startReady("entry-2")
	g.awaitFound(a, "", "v1")
	g.engines = append(g.engines, engineOf("v2", time.Second))
	g.list()
	g.wantUnknown(a, "")
}
