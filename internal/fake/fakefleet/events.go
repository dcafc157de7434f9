package fakefleet

import (
	"slices"
	"time"
)

// Kind is the kind of an Event.
type Kind string

const (
	// KillLeader kills the leader.
	KillLeader Kind = "kill leader"
	// Kill kills a replica.
	Kill Kind = "kill"
	// LoseDisk kills a replica, erases its disk and restarts it.
	LoseDisk Kind = "lose disk"
	// Restart starts a replica that was killed.
	Restart Kind = "restart"
	// Freeze suspends a replica until Thaw.
	Freeze Kind = "freeze"
	// Thaw resumes a replica.
	Thaw Kind = "thaw"
	// CutReplica disconnects a replica from the others.
	CutReplica Kind = "cut replica"
	// Drop makes the network between replicas lose some of the messages.
	Drop Kind = "drop"
	// Heal restores the links between replicas and ends Drop.
	Heal Kind = "heal"
	// CutEntry disconnects an entry from all replicas.
	CutEntry Kind = "cut entry"
	// CutHalf disconnects an entry from the first half of the replicas, rounded
	// down.
	CutHalf Kind = "half cut"
	// KeepOne disconnects an entry from all replicas but the first.
	KeepOne Kind = "keep one"
	// HealEntry restores an entry's links.
	HealEntry Kind = "heal entry"
	// FreezeEntry suspends an entry until ThawEntry.
	FreezeEntry Kind = "freeze entry"
	// ThawEntry resumes an entry.
	ThawEntry Kind = "thaw entry"
	// RestartEntry stops an entry and starts its next incarnation.
	RestartEntry Kind = "restart entry"
	// Slow raises the longest delay between entries and replicas to that of a
	// slow link.
	Slow Kind = "slow"
	// Fast restores the default delay.
	Fast Kind = "fast"
)

// Event is one injected failure, or the end of one, in a schedule.
type Event struct {
	// Wait is the time since the previous event.
	Wait time.Duration
	Kind Kind
	// Target is the number of a replica or entry, modulo the number of them.
	Target int
}

// Do carries out an event. An event that would leave more than a minority of the
// replicas killed or frozen is skipped; cut links may still cost the quorum.
func (f *Fleet) Do(e Event) {
	g := f.Group
	replica := e.Target % g.Size()
	at := e.Target % len(f.Entries)
	switch e.Kind {
	case KillLeader:
		if leader := g.CurrentLeader(); leader >= 0 && f.canStop(leader) {
			g.Kill(leader)
		}
	case Kill:
		if f.canStop(replica) {
			g.Kill(replica)
		}
	case LoseDisk:
		if f.canStop(replica) && f.fullyReplicated() {
			g.LoseDisk(replica)
			f.restart(replica)
		}
	case Restart:
		f.restart(replica)
	case Freeze:
		if f.canStop(replica) {
			g.Freeze(replica)
		}
	case Thaw:
		g.Thaw(replica)
	case CutReplica:
		g.CutOff(replica)
	case Drop:
		g.SetDrop(0.3)
	case Heal:
		g.Heal()
	case CutEntry:
		f.SetCut(at, g.Size(), true)
	case CutHalf:
		f.SetCut(at, g.Size()/2, true)
	case KeepOne:
		f.SetCut(at, g.Size(), true)
		f.SetCut(at, 1, false)
	case HealEntry:
		f.SetCut(at, g.Size(), false)
	case FreezeEntry:
		f.Entries[at].frozen.set(true)
	case ThawEntry:
		f.Entries[at].frozen.set(false)
	case RestartEntry:
		old := f.Entries[at]
		old.stop()
		f.Entries[at] = f.startEntry(old.Name, old.Incarnation+1)
	case Slow:
		f.setMaxDelay(CallTimeout)
	case Fast:
		f.setMaxDelay(defaultMaxDelay)
	}
}

// restart starts a replica that does not run, with a new tracker.
func (f *Fleet) restart(replica int) {
	if f.Group.TryRestart(replica) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trackers[replica] = f.newTracker()
}

// canStop reports whether the replica runs and a minority would be stopped
// without it.
func (f *Fleet) canStop(replica int) bool {
	stopped := 0
	for i := range f.Group.Size() {
		if !f.Group.Running(i) {
			stopped++
		}
	}
	return f.Group.Running(replica) && stopped < (f.Group.Size()-1)/2
}

// fullyReplicated reports whether every replica runs and is a voter. If a disk
// were lost before that, the quorum could be lost for good.
func (f *Fleet) fullyReplicated() bool {
	leader := f.Group.CurrentLeader()
	if leader < 0 {
		return false
	}
	view := f.Group.Log(leader).View()
	for i := range f.Group.Size() {
		if !f.Group.Running(i) || !slices.Contains(view.Voters, f.Group.Log(i).View().ReplicaID) {
			return false
		}
	}
	return len(view.Voters) == f.Group.Size() && view.VotersIndex <= view.CommitIndex
}

// SetCut takes down or restores the links between an entry and the first
// replicas; the argument replicas is their number.
func (f *Fleet) SetCut(entry, replicas int, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range replicas {
		f.cut[link{f.Entries[entry].Name, i}] = down
	}
}

func (f *Fleet) setMaxDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxDelay = delay
}

// EndFailures ends all injected failures and restarts the replicas that were killed.
func (f *Fleet) EndFailures() {
	f.Group.Heal()
	f.setMaxDelay(defaultMaxDelay)
	for i := range f.Group.Size() {
		f.Group.Thaw(i)
		f.restart(i)
	}
	for i, e := range f.Entries {
		e.frozen.set(false)
		f.SetCut(i, f.Group.Size(), false)
	}
}
