package fakegroup

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raftstore"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// process is one run of a replica.
type process struct {
	id       uint64
	node     *raft.Node
	store    *store.Store
	storage  *raftstore.Store
	gate     *gate
	killed   atomic.Bool
	cancel   context.CancelFunc
	finished chan struct{}
	// err is what the node's Run returned; valid once finished is closed.
	err error
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.finished:
		return true
	default:
		return p.killed.Load()
	}
}

// gate blocks a frozen process at its next use of the clock, disk, network or
// state machine.
type gate struct {
	mu sync.Mutex // guards opened
	// opened is nil while the process may run; closing it releases the process.
	opened chan struct{}
}

// pass blocks while the gate is closed.
func (g *gate) pass() {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return
		}
		<-opened
	}
}

func (g *gate) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened != nil
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// gatedClock is the clock of a process; reading it blocks while the process is
// frozen.
type gatedClock struct {
	clock.Clock
	gate *gate
}

func (c gatedClock) Now() clock.Instant {
	c.gate.pass()
	return c.Clock.Now()
}

// gatedStateMachine is the state machine of a process; Apply blocks while the
// process is frozen.
type gatedStateMachine struct {
	replog.StateMachine
	gate *gate
}

func (m gatedStateMachine) Apply(index uint64, command []byte) []byte {
	m.gate.pass()
	return m.StateMachine.Apply(index, command)
}

// Restart starts a replica's process from its disk. With an empty disk, the
// replica joins the group as a new member. It fails the test if the process
// does not start.
func (g *Group) Restart(i int) {
	g.t.Helper()
	if err := g.TryRestart(i); err != nil {
		g.t.Fatalf("fakegroup: restart replica %d: %v", i, err)
	}
}

// TryRestart is like Restart, but returns an error if the process runs already
// or refuses to start.
func (g *Group) TryRestart(i int) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[i]
	if r.process != nil && !r.process.ended() {
		return errors.New("replica is already running")
	}
	p, err := g.start(i, r)
	if err != nil {
		return err
	}
	r.process = p
	g.joining.Go(func() { g.join(i, p) })
	return nil
}

// start starts a process from a replica's disk. The caller holds g.mu.
func (g *Group) start(i int, r *replica) (*process, error) {
	p := &process{id: r.identity.ReplicaID, store: store.New(), gate: &gate{}, finished: make(chan struct{})}
	folder := r.disk.Open(p.gate.pass)
	_, found, err := raftstore.LoadIdentity(folder, r.identity.Deployment, r.identity.Name)
	if err != nil {
		return nil, err
	}
	if !found {
		if err := g.prepare(folder, r.identity); err != nil {
			return nil, err
		}
	}
	p.storage, err = raftstore.Open(folder, r.identity, g.storeOptions())
	if err != nil {
		return nil, err
	}
	p.node, err = raft.New(raft.Options{
		ID:           p.id,
		ClusterID:    clusterID,
		StateMachine: gatedStateMachine{StateMachine: p.store, gate: p.gate},
		Storage:      p.storage,
		Transport:    &endpoint{network: g.network, from: i, process: p},
		Clock:        gatedClock{Clock: g.clock, gate: p.gate},
		IsSettings:   store.IsSettingsCommand,
		Timing:       g.options.Timing,
		Compaction:   g.options.Compaction,
		MaxVoters:    g.options.Voters,
		Seed:         g.options.Seed,
		Log:          hclog.NewNullLogger(),
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() {
		p.err = p.node.Run(ctx)
		_ = p.storage.Close()
		close(p.finished)
	}()
	return p, nil
}

// prepare creates the data folder of a replica that joins the group.
func (g *Group) prepare(folder disk.Folder, identity raftstore.Identity) error {
	if err := raftstore.Prepare(folder, identity, g.storeOptions()); err != nil {
		return err
	}
	return raftstore.SaveIdentity(folder, identity)
}

// join asks the leader to add the replica, again and again until it is a member
// or its process has ended. With Options.RejoinAfter it goes on as long as the process
// runs.
func (g *Group) join(i int, p *process) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	added := raft.Member{ID: p.id, Name: identityOf(i, 0).Name, Address: address(i)}
	joined, ledAt := false, g.clock.Now()
	for ; !p.ended(); time.Sleep(joinInterval) {
		if p.node.View().LeaderID != 0 {
			ledAt = g.clock.Now()
		}
		joined = joined || p.isMember(ctx)
		if joined && g.options.RejoinAfter == 0 {
			return
		}
		if joined && g.clock.Now().Sub(ledAt) < g.options.RejoinAfter {
			continue
		}
		if to := g.CurrentLeader(); to >= 0 && to != i && !g.network.isCut(i, to) {
			_ = g.Node(to).Join(ctx, added)
		}
	}
}

// isMember reports whether the replica is a member by its own log.
func (p *process) isMember(ctx context.Context) bool {
	members, err := p.node.Members(ctx)
	if err != nil {
		return false
	}
	for _, m := range members {
		if m.ID == p.id {
			return true
		}
	}
	return false
}

// Kill ends a replica's process at once, as SIGKILL does. Data that was not
// synced may be lost.
func (g *Group) Kill(i int) {
	p := g.process(i)
	if p.ended() {
		return
	}
	p.killed.Store(true)
	g.Disk(i).Crash()
	g.endProcess(p)
}

// endProcess stops a process's goroutines and waits for them.
func (g *Group) endProcess(p *process) {
	p.cancel()
	p.gate.open()
	<-p.finished
}

// Stop stops the whole group.
func (g *Group) Stop() {
	for i := range g.Size() {
		if p := g.process(i); p != nil {
			p.killed.Store(true)
			g.endProcess(p)
		}
	}
	g.joining.Wait()
	g.network.stop()
}

// StopGracefully transfers leadership and the vote and then ends a replica's
// process, as on SIGTERM.
func (g *Group) StopGracefully(i int) {
	p := g.process(i)
	p.node.TransferLeadership(context.Background())
	p.node.Leave(context.Background())
	g.endProcess(p)
}

// LoseDisk kills a replica and erases its disk. Restart then starts it under a
// new identity.
func (g *Group) LoseDisk(i int) {
	g.Kill(i)
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[i]
	r.disk.Lose()
	r.losses++
	r.identity = identityOf(i, r.losses)
}

// LoseDiskKeepIdentity is like LoseDisk, but Restart starts the replica under its old
// identity although its votes are lost. Tests use it as a deliberate fault that
// their checks must detect.
func (g *Group) LoseDiskKeepIdentity(i int) {
	g.Kill(i)
	g.Disk(i).Lose()
}

// Freeze suspends a replica's process until Thaw, as SIGSTOP does. Time goes on
// and messages to it are queued. A call on a frozen replica's log blocks.
func (g *Group) Freeze(i int) {
	g.process(i).gate.close()
}

// Thaw resumes a frozen replica, as SIGCONT does.
func (g *Group) Thaw(i int) {
	g.process(i).gate.open()
}

// Err returns the error with which a replica's process ended, or nil while it
// runs.
func (g *Group) Err(i int) error {
	p := g.process(i)
	select {
	case <-p.finished:
		return p.err
	default:
		return nil
	}
}
