package fakefleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/coordination/settingsync"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// pause blocks an entry's process while the process is frozen. opened is nil
// while the process may run; closing it releases the process.
type pause struct {
	mu     sync.Mutex // guards opened
	opened chan struct{}
}

func (p *pause) wait() {
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

func (p *pause) active() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened != nil
}

// Entry is a simulated entry process that runs the production settings agent.
type Entry struct {
	Name        string
	Incarnation uint64
	Agent       *settingsync.Agent

	fleet  *Fleet
	frozen *pause
	gate   *lease.Gate
	cancel context.CancelFunc
	done   chan struct{}
}

// processClock is the clock of a process; reading it blocks while the process is
// frozen.
type processClock struct {
	clock.Clock
	frozen *pause
	// ahead is added to the time; it is set by the fault LeaseFromAnswer.
	ahead time.Duration
}

func (c processClock) Now() clock.Instant {
	c.frozen.wait()
	return c.Clock.Now().Add(c.ahead)
}

// Operator returns an Entry without an agent, through which a test can call the
// replicas as an operator does.
func (f *Fleet) Operator() *Entry {
	return &Entry{fleet: f, Name: "operator", frozen: &pause{}}
}

func (f *Fleet) startEntry(name string, incarnation uint64) *Entry {
	e := &Entry{fleet: f, Name: name, Incarnation: incarnation, frozen: &pause{}, done: make(chan struct{})}
	c := processClock{Clock: f.Group.Clock(), frozen: e.frozen}
	holder := lease.NewHolder(c)
	e.gate = lease.NewGate(holder)
	if f.Fault == LeaseFromAnswer {
		c.ahead = 2 * CallTimeout
	}
	e.Agent = settingsync.New(settingsync.Options{
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
		if e.Agent.Start(ctx) == nil {
			_ = e.Agent.Run(ctx)
		}
	}()
	return e
}

func (e *Entry) stop() {
	e.cancel()
	e.frozen.set(false)
	<-e.done
}

// Version returns the settings version under which the entry would send new work
// now; ok is false if it would send none.
func (e *Entry) Version() (version uint64, ok bool) {
	if e.frozen.active() {
		return 0, false
	}
	c := e.Agent.Settings().Load()
	if c == nil || e.gate.Check(c.Version) != nil {
		return 0, false
	}
	return c.Version, true
}

// Renew implements settingsync.Control.
func (e *Entry) Renew(ctx context.Context, r lease.Renewal) []lease.Answer {
	e.frozen.wait()
	var mu sync.Mutex
	var answers []lease.Answer
	var waiting sync.WaitGroup
	for i := range e.fleet.Group.Size() {
		waiting.Go(func() {
			answer, ok := e.renewAt(i, r)
			mu.Lock()
			defer mu.Unlock()
			if ok && ctx.Err() == nil {
				answers = append(answers, answer)
			}
		})
	}
	waiting.Wait()
	e.frozen.wait()
	if e.fleet.Fault == OneAnswer && len(answers) > 0 {
		return answers[:1]
	}
	return answers
}

// renewAt sends a renewal to one replica, which answers from its view at that
// instant. The result is false if the replica was not reached or its answer lost.
func (e *Entry) renewAt(i int, r lease.Renewal) (lease.Answer, bool) {
	e.fleet.sleepMessageDelay()
	if !e.canReach(i) {
		return lease.Answer{}, false
	}
	view := e.fleet.Group.Log(i).View()
	e.fleet.Tracker(i).Renewed(r.Member, r.Incarnation, r.Version)
	e.fleet.sleepMessageDelay()
	if e.fleet.Fault == OneAnswer {
		view.Voters = []uint64{view.ReplicaID}
	}
	return lease.Answer{
		Replica:          view.ReplicaID,
		LogSettingsIndex: view.LogSettingsIndex,
		Voters:           view.Voters,
		VotersIndex:      view.VotersIndex,
		Duration:         LeaseDuration,
	}, e.canReach(i)
}

// canReach reports whether the replica runs and the link to it is up.
func (e *Entry) canReach(i int) bool {
	return e.fleet.Group.Running(i) && !e.fleet.isCut(e.Name, i)
}

// Settings implements settingsync.Control.
func (e *Entry) Settings(ctx context.Context, have uint64) (settings.Update, error) {
	var update settings.Update
	err := e.Each(ctx, func(ctx context.Context, i int) (err error) {
		update, err = e.fleet.Read(ctx, i, have)
		return err
	})
	return update, err
}

// Submit implements settingsync.Control.
func (e *Entry) Submit(ctx context.Context, command *store.Command) (store.Result, error) {
	var result store.Result
	err := e.Each(ctx, func(ctx context.Context, i int) (err error) {
		result, err = e.fleet.Submit(ctx, i, command)
		return err
	})
	return result, err
}

// Each calls do for the replicas that the entry can reach, starting at a random
// one, until a call succeeds and its answer arrives. Each call has a time-out.
func (e *Entry) Each(ctx context.Context, do func(ctx context.Context, i int) error) error {
	e.frozen.wait()
	defer e.frozen.wait()
	size := e.fleet.Group.Size()
	err := errUnreachable
	for first, i := e.fleet.RandomInt(size), 0; i < size && ctx.Err() == nil; i++ {
		at := (first + i) % size
		e.fleet.sleepMessageDelay()
		if !e.canReach(at) {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, CallTimeout)
		err = do(limited, at)
		cancel()
		e.fleet.sleepMessageDelay()
		if err == nil && e.canReach(at) {
			return nil
		}
	}
	return errors.Join(err, errUnreachable)
}
