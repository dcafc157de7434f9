package fakefleet

import (
	"slices"
	"time"
)

// Kind is what an Event does.
type Kind string

const (
	// KillLeader ends the leading replica at once.
	KillLeader Kind = "kill leader"
	// Kill ends a replica at once.
	Kill Kind = "kill"
	// LoseDisk ends a replica, empties its disk and starts it.
	LoseDisk Kind = "lose disk"
	// Restart starts a replica that was ended.
	Restart Kind = "restart"
	// Freeze stops a replica until Thaw.
	Freeze Kind = "freeze"
	// Thaw lets a replica go on.
	Thaw Kind = "thaw"
	// CutReplica cuts a replica off from the others.
	CutReplica Kind = "cut replica"
	// Drop loses a share of the messages between replicas.
	Drop Kind = "drop"
	// Heal mends the links between replicas.
	Heal Kind = "heal"
	// CutEntry cuts an entry off from all replicas.
	CutEntry Kind = "cut entry"
	// CutHalf cuts an entry off from the lower half of the replicas.
	CutHalf Kind = "half cut"
	// KeepOne cuts an entry off from all replicas but the first.
	KeepOne Kind = "keep one"
	// HealEntry mends an entry's links.
	HealEntry Kind = "heal entry"
	// FreezeEntry stops an entry until ThawEntry.
	FreezeEntry Kind = "freeze entry"
	// ThawEntry lets an entry go on.
	ThawEntry Kind = "thaw entry"
	// RestartEntry ends an entry and starts its next incarnation.
	RestartEntry Kind = "restart entry"
	// Slow slows the links between entries and replicas.
	Slow Kind = "slow"
	// Fast ends Slow.
	Fast Kind = "fast"
)

// Event is one disturbance of a schedule.
type Event struct {
	// Wait is the time since the event before.
	Wait time.Duration
	Kind Kind
	// Target is the number of a replica or entry, modulo how many there are.
	Target int
}

// Do carries out an event. At most a minority of the replicas is down or
// frozen at a time; cuts may take the quorum away.
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
		f.setMaxDelay(Attempt)
	case Fast:
		f.setMaxDelay(defaultMaxDelay)
	}
}

func (f *Fleet) restart(replica int) {
	if f.Group.TryRestart(replica) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trackers[replica] = f.newTracker()
}

func (f *Fleet) canStop(replica int) bool {
	stopped := 0
	for i := range f.Group.Size() {
		if !f.Group.Running(i) {
			stopped++
		}
	}
	return f.Group.Running(replica) && stopped < (f.Group.Size()-1)/2
}

// fullyReplicated reports whether every replica runs and is a voter. A disk that is
// lost before that may take the quorum away for ever.
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

// SetCut cuts or mends the links between an entry and the first replicas.
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

// Calm ends all disturbances.
func (f *Fleet) Calm() {
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
