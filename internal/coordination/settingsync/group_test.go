package settingsync_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/inforce"
	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/coordination/settingsync"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakegroup"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// ciChecks is the number of schedules of each property in CI. More are drawn
// with the flag -rapid.checks.
const ciChecks = "12"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		_ = flag.Set("rapid.checks", ciChecks)
	}
	os.Exit(m.Run())
}

const (
	leaseDuration = 3 * time.Second
	attempt       = 500 * time.Millisecond
	usualDelay    = time.Millisecond
)

var errUnreachable = errors.New("no replica reached")

// fault is a planted fault. The checkers must report each.
type fault int

const (
	sound fault = iota
	// leaseFromAnswer counts the lease from after the answers.
	leaseFromAnswer
	// oneAnswer takes one replica's answer for a majority.
	oneAnswer
	// shortPeriod reports changes in force before every lease has ended.
	shortPeriod
	// followerRead reads settings without a read barrier.
	followerRead
	// flapping takes a VM that the list shows as live again for a new run.
	flapping
	// newNumber sends a change again under another number.
	newNumber
)

// world is a control group with entries around it, under virtual time.
type world struct {
	t     *testing.T
	fault fault
	group *fakegroup.Group
	// trackers belong to the replicas.
	trackers []*inforce.Tracker
	entries  []*entry
	// shown is when a reading of the platform's list first named a VM as
	// leaving, as a clock.Instant; zero before.
	shown atomic.Int64

	mu     sync.Mutex // guards the fields below
	random *rand.Rand
	// cut holds the links between an entry and a replica that are down.
	cut map[link]bool
	// slowest is the longest one-way delay between entries and replicas.
	slowest time.Duration
}

type link struct {
	entry   string
	replica int
}

func newWorld(t *testing.T, seed uint64, replicas, entries int, f fault) *world {
	w := &world{
		t:       t,
		fault:   f,
		group:   fakegroup.New(t, fakegroup.Options{Replicas: replicas, Seed: seed}),
		random:  rand.New(rand.NewPCG(seed, 7)),
		cut:     make(map[link]bool),
		slowest: usualDelay,
	}
	for range replicas {
		w.trackers = append(w.trackers, w.newTracker())
	}
	for i := range entries {
		w.entries = append(w.entries, w.startEntry(fmt.Sprintf("entry-%d", i+1), 1))
	}
	return w
}

func (w *world) newTracker() *inforce.Tracker {
	o := inforce.Options{Clock: w.group.Clock(), Lease: leaseDuration}
	if w.fault == shortPeriod {
		o.Lease = leaseDuration / 6
	}
	return inforce.New(o)
}

func (w *world) stop() {
	for _, e := range w.entries {
		e.stop()
	}
}

func (w *world) isCut(entry string, replica int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[link{entry, replica}]
}

func (w *world) tracker(i int) *inforce.Tracker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.trackers[i]
}

// travel takes the time of a message on its way.
func (w *world) travel() {
	w.mu.Lock()
	delay := time.Duration(w.random.Int64N(int64(w.slowest)))
	w.mu.Unlock()
	time.Sleep(delay)
}

func (w *world) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// pause stops an entry's process until it is opened again.
type pause struct {
	mu     sync.Mutex // guards opened
	opened chan struct{}
}

func (p *pause) pass() {
	p.mu.Lock()
	opened := p.opened
	p.mu.Unlock()
	if opened != nil {
		<-opened
	}
}

func (p *pause) set(closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if closed == (p.opened != nil) {
		return
	}
	if closed {
		p.opened = make(chan struct{})
		return
	}
	close(p.opened)
	p.opened = nil
}

func (p *pause) closed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened != nil
}

// entry is a simulated entry process with a real agent.
type entry struct {
	world       *world
	name        string
	incarnation uint64
	frozen      *pause
	agent       *settingsync.Agent
	gate        *lease.Gate
	cancel      context.CancelFunc
	done        chan struct{}
}

// processClock is the clock as a process that may be frozen reads it.
type processClock struct {
	clock.Clock
	frozen *pause
	// ahead is added by the planted fault leaseFromAnswer.
	ahead time.Duration
}

func (c processClock) Now() clock.Instant {
	c.frozen.pass()
	return c.Clock.Now().Add(c.ahead)
}

func (w *world) startEntry(name string, incarnation uint64) *entry {
	e := &entry{world: w, name: name, incarnation: incarnation, frozen: &pause{}, done: make(chan struct{})}
	c := processClock{Clock: w.group.Clock(), frozen: e.frozen}
	holder := lease.NewHolder(c)
	e.gate = lease.NewGate(holder)
	if w.fault == leaseFromAnswer {
		c.ahead = 2 * attempt
	}
	e.agent = settingsync.New(settingsync.Options{
		Self:    member.Member{Name: name, Incarnation: incarnation, Zone: "a"},
		Control: e,
		Clock:   c,
		Holder:  holder,
		Gate:    e.gate,
		Log:     hclog.NewNullLogger(),
	})
	var ctx context.Context
	ctx, e.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(e.done)
		if e.agent.Start(ctx) == nil {
			_ = e.agent.Run(ctx)
		}
	}()
	return e
}

func (e *entry) stop() {
	e.cancel()
	e.frozen.set(false)
	<-e.done
}

// version returns the settings version on which the entry would send new work
// now; ok is false if it would not.
func (e *entry) version() (version uint64, ok bool) {
	if e.frozen.closed() {
		return 0, false
	}
	c := e.agent.Settings().Load()
	if c == nil || e.gate.Check(c.Version) != nil {
		return 0, false
	}
	return c.Version, true
}

// Renew implements settingsync.Control.
func (e *entry) Renew(ctx context.Context, r lease.Renewal) []lease.Answer {
	e.frozen.pass()
	var mu sync.Mutex
	var answers []lease.Answer
	var waiting sync.WaitGroup
	for i := range e.world.group.Size() {
		waiting.Go(func() {
			answer, ok := e.ask(i, r)
			mu.Lock()
			defer mu.Unlock()
			if ok && ctx.Err() == nil {
				answers = append(answers, answer)
			}
		})
	}
	waiting.Wait()
	e.frozen.pass()
	if e.world.fault == oneAnswer && len(answers) > 0 {
		return answers[:1]
	}
	return answers
}

// ask asks one replica, which answers from its view at that instant.
func (e *entry) ask(i int, r lease.Renewal) (lease.Answer, bool) {
	e.world.travel()
	if !e.reaches(i) {
		return lease.Answer{}, false
	}
	view := e.world.group.Log(i).View()
	e.world.tracker(i).Renewed(r.Member, r.Incarnation, r.Version)
	e.world.travel()
	if e.world.fault == oneAnswer {
		view.Voters = []uint64{view.ReplicaID}
	}
	return lease.Answer{
		Replica:          view.ReplicaID,
		LogSettingsIndex: view.LogSettingsIndex,
		Voters:           view.Voters,
		VotersIndex:      view.VotersIndex,
		Duration:         leaseDuration,
	}, e.reaches(i)
}

func (e *entry) reaches(i int) bool {
	return e.world.group.Running(i) && !e.world.isCut(e.name, i)
}

// Settings implements settingsync.Control.
func (e *entry) Settings(ctx context.Context, have uint64) (settings.Update, error) {
	var update settings.Update
	err := e.each(ctx, func(ctx context.Context, i int) (err error) {
		update, err = e.world.read(ctx, i, have)
		return err
	})
	return update, err
}

// read reads the settings at one replica as the gRPC server does.
func (w *world) read(ctx context.Context, i int, have uint64) (settings.Update, error) {
	if w.fault != followerRead {
		if err := w.group.Log(i).ReadBarrier(ctx); err != nil {
			return settings.Update{}, err
		}
	}
	var update settings.Update
	w.group.Store(i).View(func(tree *settings.Tree, _ *ledger.Ledger) { update = tree.Since(have) })
	return update, nil
}

// Submit implements settingsync.Control.
func (e *entry) Submit(ctx context.Context, command *store.Command) (store.Result, error) {
	var result store.Result
	err := e.each(ctx, func(ctx context.Context, i int) (err error) {
		result, err = e.world.submit(ctx, i, command)
		return err
	})
	return result, err
}

func (w *world) submit(ctx context.Context, i int, command *store.Command) (store.Result, error) {
	encoded, err := command.Encode()
	if err != nil {
		return store.Result{}, err
	}
	applied, err := w.group.Submit(ctx, i, encoded)
	if err != nil {
		return store.Result{}, err
	}
	return store.DecodeResult(applied.Result)
}

// each tries the replicas that the entry reaches, from a drawn one on.
func (e *entry) each(ctx context.Context, do func(ctx context.Context, i int) error) error {
	e.frozen.pass()
	defer e.frozen.pass()
	size := e.world.group.Size()
	err := errUnreachable
	for first, i := e.world.pick(size), 0; i < size && ctx.Err() == nil; i++ {
		at := (first + i) % size
		e.world.travel()
		if !e.reaches(at) {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, attempt)
		err = do(limited, at)
		cancel()
		e.world.travel()
		if err == nil && e.reaches(at) {
			return nil
		}
	}
	return errors.Join(err, errUnreachable)
}
