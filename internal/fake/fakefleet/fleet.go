// Package fakefleet runs entries and a group of control replicas under the
// virtual time of testing/synctest. Entries run the production settings agent;
// links, processes and clocks are simulated, and failures can be injected.
package fakefleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/coordination/inforce"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakegroup"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

const (
	// LeaseDuration is the length of an entry's settings lease.
	LeaseDuration = 3 * time.Second
	// CallTimeout is the timeout of a call to one replica; it is also the longest
	// one-way delay of a slow link.
	CallTimeout = 500 * time.Millisecond

	defaultMaxDelay = time.Millisecond
)

var errUnreachable = errors.New("fakefleet: no replica reached")

// Fleet is a control group and the entries that use it.
type Fleet struct {
	// Fault is the injected protocol fault.
	Fault Fault
	Group *fakegroup.Group
	// Entries holds the latest incarnation of each entry.
	Entries []*Entry

	mu sync.Mutex // guards the fields below
	// trackers holds the tracker of each replica.
	trackers []*inforce.Tracker
	random   *rand.Rand
	// cut reports which links between an entry and a replica are down.
	cut map[link]bool
	// maxDelay is the longest one-way delay between entries and replicas.
	maxDelay time.Duration
}

type link struct {
	entry   string
	replica int
}

// New starts a fleet. It must be called inside a synctest bubble; Stop must be
// called before the test ends.
func New(t testing.TB, seed uint64, replicas, entries int, fault Fault) *Fleet {
	f := &Fleet{
		Fault:    fault,
		Group:    fakegroup.New(t, fakegroup.Options{Replicas: replicas, Seed: seed}),
		random:   rand.New(rand.NewPCG(seed, 7)),
		cut:      make(map[link]bool),
		maxDelay: defaultMaxDelay,
	}
	for range replicas {
		f.trackers = append(f.trackers, f.newTracker())
	}
	for i := range entries {
		f.Entries = append(f.Entries, f.startEntry(fmt.Sprintf("entry-%d", i+1), 1))
	}
	return f
}

func (f *Fleet) newTracker() *inforce.Tracker {
	o := inforce.Options{Clock: f.Group.Clock(), Lease: LeaseDuration}
	if f.Fault == ShortPeriod {
		o.Lease = LeaseDuration / 6
	}
	return inforce.New(o)
}

// Stop ends all entries.
func (f *Fleet) Stop() {
	for _, e := range f.Entries {
		e.stop()
	}
}

func (f *Fleet) isCut(entry string, replica int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[link{entry, replica}]
}

// Tracker returns a replica's tracker.
func (f *Fleet) Tracker(i int) *inforce.Tracker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.trackers[i]
}

// sleepMessageDelay sleeps for the random one-way delay of a message between
// an entry and a replica.
func (f *Fleet) sleepMessageDelay() {
	f.mu.Lock()
	delay := time.Duration(f.random.Int64N(int64(f.maxDelay)))
	f.mu.Unlock()
	time.Sleep(delay)
}

// RandomInt returns a random number from 0 to n-1.
func (f *Fleet) RandomInt(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// Read returns the changes of the settings since the version have, read at one
// replica as the gRPC server does.
func (f *Fleet) Read(ctx context.Context, i int, have uint64) (settings.Update, error) {
	if f.Fault != FollowerRead {
		if err := f.Group.Log(i).ReadBarrier(ctx); err != nil {
			return settings.Update{}, err
		}
	}
	var update settings.Update
	f.Group.Store(i).View(func(tree *settings.Tree, _ *ledger.Ledger) { update = tree.UpdateSince(have) })
	return update, nil
}

// Submit submits a command at one replica and returns its decoded result.
func (f *Fleet) Submit(ctx context.Context, i int, command *store.Command) (store.Result, error) {
	encoded, err := command.Encode()
	if err != nil {
		return store.Result{}, err
	}
	applied, err := f.Group.Submit(ctx, i, encoded)
	if err != nil {
		return store.Result{}, err
	}
	return store.DecodeResult(applied.Result)
}

// SetLink takes down or restores the link between an entry and a replica.
func (f *Fleet) SetLink(entry, replica int, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[link{f.Entries[entry].Name, replica}] = down
}
