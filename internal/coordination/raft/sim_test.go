package raft

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// fault is a fault that a test injects to verify that the checks detect it.
type fault int

const (
	noFault fault = iota
	// ackBeforeSync loses entries and votes in a crash that were already
	// acknowledged.
	ackBeforeSync
	// voteAfterAmnesia restarts a replica with its old identity but without
	// its stored state.
	voteAfterAmnesia
	// voteAfterRestart lets a restarted replica vote immediately.
	voteAfterRestart
	// commitOldTerm commits entries of older terms by counting replicas.
	commitOldTerm
	// noTransferWait gives a leader authority immediately after a leadership
	// transfer.
	noTransferWait
	// noLeaseMargin leaves no margin for clocks that run at different rates.
	noLeaseMargin
)

// simReplica is one replica and the contents of its disk.
type simReplica struct {
	core  *Core
	state HardState
	// entries holds the whole log; the simulation keeps it for the checks.
	entries  []Entry
	snapshot *Snapshot
	// beforeLastSave is the disk before the last save, to which a crash
	// reverts it if ackBeforeSync is injected.
	beforeLastSave *simReplica
	// member describes the replica when it asks to join the group.
	member Member
	// clockRate is the rate of the replica's clock relative to simulated time.
	clockRate float64
	diskLost  bool
	isolated  bool
}

// maxClockRateError is the maximum relative error of a clock's rate. The lease
// margin of a tenth of the election timeout covers twice that.
const maxClockRateError = 0.04

// localTime returns the replica's clock reading at an instant of simulated
// time.
func (r *simReplica) localTime(now clock.Instant) clock.Instant {
	return clock.Instant(float64(now) * r.clockRate)
}

// sim runs cores with a random schedule of events. After each event it checks
// the properties in figure 3 of the Raft paper, and that leases don't overlap.
type sim struct {
	fault fault
	// maxVoters is CoreOptions.MaxVoters. If it is set, machines are also replaced by
	// others of another name, and voters hand over their vote.
	maxVoters      int
	now            clock.Instant
	replicas       []*simReplica
	bootstrapEntry Entry
	inFlight       []Message
	rand           *rand.Rand
	proposed       int
	// snapshotRequests counts the requests to send a snapshot.
	snapshotRequests int

	// leaders maps a term to its leader, and committed an index to its entry.
	leaders         map[uint64]uint64
	committed       map[uint64]Entry
	newestCommitted uint64
	// leaseEnd and leaseHolder describe the lease that was granted last.
	leaseEnd    clock.Instant
	leaseHolder uint64
	err         error
}

// newSim returns a group of n voters whose number of voters has no limit.
func newSim(n int, f fault) *sim {
	return newBoundedSim(n, 0, f)
}

// newBoundedSim returns a group of n voters with a limit on their number; zero
// means no limit.
func newBoundedSim(n, maxVoters int, f fault) *sim {
	s := &sim{
		fault:     f,
		maxVoters: maxVoters,
		rand:      rand.New(rand.NewPCG(1, 2)),
		leaders:   make(map[uint64]uint64),
		committed: make(map[uint64]Entry),
	}
	var members Members
	for i := range n {
		members = members.with(Member{ID: uint64(i + 1), Name: fmt.Sprint(i), Voter: true})
	}
	first := Entry{Index: 1, Term: 1, Kind: KindMembers, Data: EncodeMembers(members)}
	s.bootstrapEntry = first
	for i := range n {
		s.replicas = append(s.replicas, s.newReplica())
		s.start(i)
	}
	return s
}

// newReplica returns a replica with the initial state of the group.
func (s *sim) newReplica() *simReplica {
	return &simReplica{state: HardState{Term: 1}, entries: []Entry{s.bootstrapEntry}, clockRate: s.drawClockRate()}
}

func (s *sim) drawClockRate() float64 {
	return 1 + maxClockRateError*(2*s.rand.Float64()-1)
}

// timing returns DefaultTiming, without a lease margin if noLeaseMargin is
// injected.
func (s *sim) timing() Timing {
	timing := DefaultTiming
	if s.fault == noLeaseMargin {
		timing.LeaseMargin = 0
	}
	if s.maxVoters > 0 {
		timing.VoterReplacementTimeout = 2 * timing.ElectionTimeout
	}
	return timing
}

// start starts replica i from the state on its disk.
func (s *sim) start(i int) {
	r := s.replicas[i]
	core, err := NewCore(CoreOptions{
		ID:         uint64(i + 1),
		Timing:     s.timing(),
		Rand:       s.rand,
		IsSettings: func([]byte) bool { return false },
		MaxVoters:  s.maxVoters,
	}, StoredState{HardState: r.state, Snapshot: r.snapshot, Entries: r.entries}, r.localTime(s.now))
	if err != nil {
		s.fail("start: %v", err)
		return
	}
	core.commitAnyTerm = s.fault == commitOldTerm
	if s.fault == voteAfterRestart {
		core.noVoteBefore = r.localTime(s.now)
	}
	r.core = core
}

func (s *sim) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

// run executes a schedule; each number encodes one event.
func (s *sim) run(schedule []uint32) error {
	for _, event := range schedule {
		s.runEvent(event%16, int(event/16))
		s.checkAll()
		if s.err != nil {
			return s.err
		}
	}
	return nil
}

func (s *sim) runEvent(kind uint32, argument int) {
	i := argument % len(s.replicas)
	r := s.replicas[i]
	switch kind {
	case 0:
		s.advance(time.Duration(argument%3000) * time.Millisecond)
	case 1, 10, 11:
		s.advance(time.Duration(argument%100) * time.Millisecond)
	case 2:
		s.propose(r)
	case 3:
		s.crash(i, argument/len(s.replicas))
	case 4:
		if argument%3 == 0 {
			s.takeMessage(argument)
		} else {
			s.healAndIsolate(r, argument%2 == 0)
		}
	case 5:
		if len(s.inFlight) > 0 {
			s.inFlight = append(s.inFlight, s.inFlight[argument%len(s.inFlight)])
		}
	case 6:
		s.housekeeping(i, argument/len(s.replicas))
	case 7:
		s.deliver(s.takeMessage(argument))
	default:
		for range 1 + argument%12 {
			s.deliver(s.takeMessage(0))
		}
	}
}

// healAndIsolate reconnects all replicas and then isolates r if cut is true.
func (s *sim) healAndIsolate(r *simReplica, cut bool) {
	for _, other := range s.replicas {
		other.isolated = false
	}
	r.isolated = cut
}

// canLoseDisk reports whether a leader has all its voters and no pending
// membership change, so that the group survives the loss of any one disk.
func (s *sim) canLoseDisk() bool {
	for _, r := range s.replicas {
		if r.diskLost || r.core.role != leader || r.core.membershipChangePending() {
			continue
		}
		voters := r.core.voters()
		lost := slices.ContainsFunc(voters, func(id uint64) bool { return s.replicas[id-1].diskLost })
		return !lost && len(voters) >= 3
	}
	return false
}

// advance moves the time forward in steps of at most a heartbeat interval, and
// ticks the cores and delivers messages after each step.
func (s *sim) advance(d time.Duration) {
	for d > 0 {
		step := min(d, DefaultTiming.Heartbeat)
		s.now = s.now.Add(step)
		s.tickAll()
		d -= step
		for range len(s.replicas) * 4 {
			s.deliver(s.takeMessage(0))
		}
	}
}

func (s *sim) tickAll() {
	for _, r := range s.replicas {
		if !r.diskLost {
			r.core.Tick(r.localTime(s.now))
			s.processReady(r)
		}
	}
}

func (s *sim) propose(r *simReplica) {
	s.proposed++
	if !r.diskLost {
		_, _, _ = r.core.Propose(r.localTime(s.now), [][]byte{fmt.Append(nil, s.proposed)})
		s.processReady(r)
	}
}

func (s *sim) takeMessage(position int) Message {
	if len(s.inFlight) == 0 {
		return Message{}
	}
	position %= len(s.inFlight)
	m := s.inFlight[position]
	s.inFlight = append(s.inFlight[:position], s.inFlight[position+1:]...)
	return m
}

func (s *sim) deliver(m Message) {
	if m.To == 0 || int(m.To) > len(s.replicas) {
		return
	}
	r := s.replicas[m.To-1]
	if from := s.replicas[m.From-1]; !r.diskLost && !r.isolated && !from.isolated {
		r.core.Tick(r.localTime(s.now))
		r.core.Step(r.localTime(s.now), m)
		s.processReady(r)
	}
}

// crash restarts a replica, or replaces it with one that has an empty disk.
func (s *sim) crash(i, how int) {
	r := s.replicas[i]
	switch {
	case r.diskLost:
	case how%2 == 0 && s.fault != voteAfterAmnesia && s.canLoseDisk():
		r.diskLost = true
		member, _ := r.core.Members().find(r.core.id)
		if s.maxVoters > 0 && how%4 == 0 {
			member.Name = fmt.Sprint(len(s.replicas)) // replaced by another machine
		}
		s.addReplica(member.Name)
	case s.maxVoters > 0 && how%8 == 1 && len(s.replicas) < maxSimReplicas:
		s.addReplica(fmt.Sprint(len(s.replicas)))
	case how%2 == 0 && s.fault == voteAfterAmnesia:
		*r = *s.newReplica()
		s.start(i)
	case s.fault == ackBeforeSync && r.beforeLastSave != nil:
		*r = *r.beforeLastSave
		s.start(i)
	default:
		s.start(i)
	}
}

// maxSimReplicas limits the replicas that join in addition to those that replace a
// lost one.
const maxSimReplicas = 16

// addReplica starts a replica with an empty disk, which asks to join the group.
func (s *sim) addReplica(name string) {
	s.replicas = append(s.replicas, &simReplica{clockRate: s.drawClockRate()})
	s.start(len(s.replicas) - 1)
	added := s.replicas[len(s.replicas)-1]
	added.member = Member{ID: uint64(len(s.replicas)), Name: name}
	s.addLearner(added.member)
}

// addLearner proposes a new replica to every replica; a leader adds it.
func (s *sim) addLearner(added Member) {
	for _, r := range s.replicas {
		if !r.diskLost {
			_ = r.core.AddLearner(r.localTime(s.now), added)
			s.processReady(r)
		}
	}
}

// housekeeping transfers leadership or the vote, compacts the log, or, for a replica that
// has no membership yet, repeats its request to join.
func (s *sim) housekeeping(i, how int) {
	r := s.replicas[i]
	switch {
	case r.diskLost:
	case len(r.core.Members()) == 0:
		s.addLearner(r.member)
	case s.maxVoters > 0 && how%3 == 0:
		r.core.Leave()
	case how%2 == 0:
		r.core.TransferLeadership(r.localTime(s.now))
		if s.fault == noTransferWait {
			r.core.leaderState.forcedElection = false
		}
	default:
		s.compact(r)
	}
	if !r.diskLost {
		s.processReady(r)
	}
}

// compact takes a snapshot at the last applied index.
func (s *sim) compact(r *simReplica) {
	index := r.core.applyRequested
	term, err := r.core.log.term(index)
	if err != nil || index == r.core.log.base {
		return
	}
	meta := SnapshotMeta{Index: index, Term: term}
	for _, m := range r.core.log.memberships {
		if m.index <= index {
			meta.Members, meta.MembersIndex = m.members, m.index
		}
	}
	r.snapshot = &Snapshot{Meta: meta}
	r.entries = append([]Entry(nil), r.entries[index-r.core.log.base:]...)
	r.core.Compact(index)
}

// processReady processes a replica's Readys until there are no more.
func (s *sim) processReady(r *simReplica) {
	for {
		if s.fault == noTransferWait {
			r.core.leaderState.forcedElection = false
		}
		ready, ok := r.core.Ready()
		if !ok {
			return
		}
		s.inFlight = append(s.inFlight, ready.ImmediateMessages...)
		r.beforeLastSave = &simReplica{state: r.state, entries: r.entries, snapshot: r.snapshot, clockRate: r.clockRate}
		r.save(ready)
		r.core.Persisted(r.localTime(s.now))
		s.inFlight = append(s.inFlight, ready.Messages...)
		for _, e := range ready.Committed {
			s.checkCommitted(e)
		}
		for _, id := range ready.SnapshotTargets {
			s.sendSnapshot(r, id)
		}
	}
}

func (s *sim) sendSnapshot(r *simReplica, id uint64) {
	s.snapshotRequests++
	if r.snapshot == nil || s.replicas[id-1].isolated {
		r.core.SnapshotSent(id, 0)
		return
	}
	s.inFlight = append(s.inFlight, Message{
		Type: MsgSnapshot, From: r.core.id, To: id, Term: r.core.term, Snapshot: r.snapshot,
	})
	r.core.SnapshotSent(id, r.snapshot.Meta.Index)
}

// save stores the durable parts of a Ready on the replica's disk.
func (r *simReplica) save(ready Ready) {
	if ready.Snapshot != nil {
		r.snapshot, r.entries = ready.Snapshot, nil
	}
	if ready.HardState != nil {
		r.state = *ready.HardState
	}
	if len(ready.Entries) == 0 {
		return
	}
	base := uint64(0)
	if r.snapshot != nil {
		base = r.snapshot.Meta.Index
	}
	keep := min(ready.Entries[0].Index-base-1, uint64(len(r.entries)))
	r.entries = append(append([]Entry(nil), r.entries[:keep]...), ready.Entries...)
}

// checkCommitted checks State Machine Safety: no two replicas commit different
// entries at the same index.
func (s *sim) checkCommitted(e Entry) {
	old, ok := s.committed[e.Index]
	if ok && (old.Term != e.Term || !bytes.Equal(old.Data, e.Data)) {
		s.fail("committed entries at index %d differ: one of term %d, one of term %d", e.Index, old.Term, e.Term)
	}
	s.committed[e.Index] = e
	s.newestCommitted = max(s.newestCommitted, e.Index)
}

func (s *sim) checkAll() {
	for _, r := range s.replicas {
		if r.core.fatalErr != nil {
			s.fail("replica %d: %v", r.core.id, r.core.fatalErr)
		}
		if !r.diskLost && r.core.role == leader {
			s.checkLeader(r)
		}
	}
	for i, a := range s.replicas {
		for _, b := range s.replicas[i+1:] {
			s.checkLogMatching(a.core.log, b.core.log)
		}
	}
}

// checkLeader checks Election Safety and Leader Completeness, and that no two
// replicas have authority at the same time.
func (s *sim) checkLeader(r *simReplica) {
	c := r.core
	if id, ok := s.leaders[c.term]; ok && id != c.id {
		s.fail("replicas %d and %d are both leaders of term %d", id, c.id, c.term)
	} else if !ok {
		s.leaders[c.term] = c.id
		s.checkComplete(c)
	}
	until, ok := c.Lease(r.localTime(s.now))
	if !ok || !r.localTime(s.now).Before(until) {
		return
	}
	if c.id != s.leaseHolder && s.now.Before(s.leaseEnd) {
		s.fail("replica %d has authority before the authority of replica %d has ended", c.id, s.leaseHolder)
	}
	s.leaseEnd, s.leaseHolder = clock.Instant(float64(until)/r.clockRate), c.id
}

func (s *sim) checkComplete(c *Core) {
	for index := c.log.base + 1; index <= s.newestCommitted; index++ {
		if e, ok := s.committed[index]; ok && !c.log.matches(index, e.Term) {
			s.fail("leader of term %d lacks the committed entry at index %d", c.term, index)
		}
	}
}

// checkLogMatching checks Log Matching: up to the highest index at which two
// logs have entries of the same term, the logs are identical.
func (s *sim) checkLogMatching(a, b *entryLog) {
	equal := false
	for index := min(a.last(), b.last()); index > max(a.base, b.base); index-- {
		ea, eb := a.slice(index, index)[0], b.slice(index, index)[0]
		same := ea.Term == eb.Term
		equal = equal || same
		if equal && (!same || !bytes.Equal(ea.Data, eb.Data)) {
			s.fail("logs differ at index %d although a later entry has the same index and term", index)
		}
	}
}
