package raft

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// maxAppendBytes limits the total size of the entries in one append
	// message.
	maxAppendBytes = 1 << 20
	// maxInflightEntries limits the number of entries sent to a replica but
	// not yet acknowledged.
	maxInflightEntries = 8192
)

// role is a replica's role in its current term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// CoreOptions configures a Core.
type CoreOptions struct {
	ID     uint64
	Timing Timing
	// Rand randomizes the election timeouts.
	Rand *rand.Rand
	// IsSettings reports whether a command is a settings command.
	IsSettings func(command []byte) bool
	// MaxVoters limits the number of voters; zero means no limit. Further
	// replicas stay learners until a voter has to be replaced. While a leaving voter
	// is replaced there is one more.
	MaxVoters int
}

// Core is the consensus state of one replica. It is not safe for concurrent
// use.
type Core struct {
	id     uint64
	timing Timing
	rand   *rand.Rand
	// maxVoters is CoreOptions.MaxVoters.
	maxVoters int

	term     uint64
	vote     uint64
	role     role
	leaderID uint64
	log      *entryLog
	commit   uint64
	// applyRequested is the last index returned in Ready.Committed.
	applyRequested uint64

	// noVoteBefore is the instant before which no vote is granted, because a
	// leader may still hold a lease that this replica supported, possibly
	// before its last restart.
	noVoteBefore clock.Instant
	electionAt   clock.Instant
	// heardLeaderID is the leader that this replica heard from last, and heardLeaderAt
	// the instant at which it did. They outlive an election.
	heardLeaderID uint64
	heardLeaderAt clock.Instant
	// votes holds the voters that granted their vote in the current campaign.
	votes map[uint64]bool

	leaderState leaderState

	lastHardState HardState
	pending       Ready

	// fatalErr is set if the replica must stop.
	fatalErr error

	// commitAnyTerm injects the fault shown in figure 8 of the Raft paper.
	// Only tests set it.
	commitAnyTerm bool
}

// NewCore returns a replica that starts at now from its persistent state.
func NewCore(o CoreOptions, stored StoredState, now clock.Instant) (*Core, error) {
	log, err := newEntryLog(o.IsSettings, stored)
	if err != nil {
		return nil, err
	}
	c := &Core{
		id:             o.ID,
		timing:         o.Timing,
		rand:           o.Rand,
		maxVoters:      o.MaxVoters,
		term:           stored.HardState.Term,
		vote:           stored.HardState.Vote,
		log:            log,
		commit:         log.base,
		applyRequested: log.base,
		noVoteBefore:   now.Add(o.Timing.ElectionTimeout),
		lastHardState:  stored.HardState,
	}
	c.resetElectionTimer(now)
	return c, nil
}

// Members returns the newest membership in the log, committed or not.
func (c *Core) Members() Members {
	return c.log.newestMembers().members
}

// IsLeader reports whether the replica is the leader of its current term.
func (c *Core) IsLeader() bool {
	return c.role == leader
}

// Tick handles timeouts that are due at now. It must be called before other
// events are handled at the same instant, so that a leader that has lost its
// quorum steps down before it accepts any.
func (c *Core) Tick(now clock.Instant) {
	if c.role == leader {
		c.tickLeader(now)
		return
	}
	if !now.Before(c.electionAt) {
		c.startPreVote(now)
	}
}

// NextTick returns the instant at which Tick must be called next.
func (c *Core) NextTick() clock.Instant {
	if c.role == leader {
		return c.leaderState.heartbeatAt
	}
	return c.electionAt
}

// Step handles a message received from another replica.
func (c *Core) Step(now clock.Instant, m Message) {
	if m.Term > c.term && !c.adoptTerm(now, m) {
		return
	}
	if m.Term < c.term {
		c.rejectStaleTerm(m)
		return
	}
	switch m.Type {
	case MsgPreVote:
		c.handlePreVote(now, m)
	case MsgPreVoteReply:
		c.handlePreVoteReply(now, m)
	case MsgVote:
		c.handleVote(now, m)
	case MsgVoteReply:
		c.handleVoteReply(now, m)
	case MsgAppend:
		c.handleAppend(now, m)
	case MsgSnapshot:
		c.handleSnapshot(now, m)
	case MsgAppendReply:
		c.handleAppendReply(now, m)
	case MsgTimeoutNow:
		c.handleTimeoutNow(now)
	case MsgRead:
		c.handleRead(now, m)
	case MsgLeaving:
		c.handleLeaving(now, m)
	case MsgReadReply:
		c.pending.Reads = append(c.pending.Reads, ReadResult{ID: m.ReadID, Index: m.Index})
	}
}

// adoptTerm moves to the newer term of a message and reports whether the
// message is to be handled. A vote request is ignored while a leader may hold
// a lease, so that a replica that was partitioned can't depose the leader
// (dissertation, section 4.2.3). A PreVote doesn't change the term.
func (c *Core) adoptTerm(now clock.Instant, m Message) bool {
	switch m.Type {
	case MsgPreVote:
		return true
	case MsgPreVoteReply:
		if !m.Reject {
			return true
		}
	case MsgVote:
		if !m.Force && c.leaderMayHoldLease(now) {
			return false
		}
	}
	c.becomeFollower(now, m.Term, 0)
	return true
}

// rejectStaleTerm rejects an append, a snapshot or a pre-vote of an older term,
// so that its sender learns the current one.
func (c *Core) rejectStaleTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgSnapshot:
		c.send(Message{Type: MsgAppendReply, To: m.From, Reject: true, Hint: c.log.last()})
	case MsgPreVote:
		c.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

// leaderMayHoldLease reports whether a leader, possibly this replica, may
// still hold a lease that this replica supports.
func (c *Core) leaderMayHoldLease(now clock.Instant) bool {
	return c.role == leader || now.Before(c.noVoteBefore)
}

func (c *Core) becomeFollower(now clock.Instant, term, leaderID uint64) {
	if c.role == leader {
		c.stepDown(now)
	}
	if term != c.term {
		c.term, c.vote = term, 0
	}
	if c.role != follower {
		c.resetElectionTimer(now)
	}
	c.role = follower
	c.leaderID = leaderID
	c.votes = nil
}

// recordLeaderContact records a message from the leader of the current term.
func (c *Core) recordLeaderContact(now clock.Instant, m Message) {
	if c.role != follower {
		c.becomeFollower(now, c.term, m.From)
	}
	c.leaderID = m.From
	c.heardLeaderID, c.heardLeaderAt = m.From, now
	c.noVoteBefore = max(c.noVoteBefore, now.Add(c.timing.ElectionTimeout))
	c.resetElectionTimer(now)
}

func (c *Core) resetElectionTimer(now clock.Instant) {
	spread := time.Duration(c.rand.Int64N(int64(c.timing.ElectionTimeout)))
	c.electionAt = now.Add(c.timing.ElectionTimeout + spread)
}

// send queues a message that is sent after the pending state is durable.
func (c *Core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	c.pending.Messages = append(c.pending.Messages, m)
}

// Ready returns the work that has accumulated since the last call; ok is false
// if there is none.
func (c *Core) Ready() (ready Ready, ok bool) {
	r := c.pending
	c.pending = Ready{}
	if state := (HardState{Term: c.term, Vote: c.vote}); state != c.lastHardState {
		r.HardState = &state
		c.lastHardState = state
		// No message may be sent in a term that is not yet durable.
		r.Messages = append(r.Messages, r.ImmediateMessages...)
		r.ImmediateMessages = nil
	}
	r.Entries = c.log.takeUnstored()
	if c.commit > c.applyRequested {
		r.Committed = c.log.slice(c.applyRequested+1, c.commit)
		c.applyRequested = c.commit
	}
	return r, !r.empty()
}

// Persisted reports to the core that everything in the last Ready is durable.
func (c *Core) Persisted(now clock.Instant) {
	if c.role == leader {
		c.leaderState.syncedIndex = c.log.storeRequested
		c.advanceCommit(now)
	}
}

// Compact drops the log entries up to index, which a stored snapshot must
// cover.
func (c *Core) Compact(index uint64) {
	c.log.compact(min(index, c.applyRequested))
}

// voters returns the voters of the newest membership.
func (c *Core) voters() []uint64 {
	return c.Members().Voters()
}

// isVoter reports whether this replica is a voter in the newest membership.
func (c *Core) isVoter() bool {
	return slices.Contains(c.voters(), c.id)
}

// errNotLeader means that the core can't accept a change because it doesn't
// lead or is transferring leadership. Node maps it to replog.ErrNotLeader.
var errNotLeader = errors.New("raft: not the leader")
