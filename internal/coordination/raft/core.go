package raft

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// maxAppendBytes bounds the entries of one append message.
	maxAppendBytes = 1 << 20
	// maxInflight bounds the entries sent to a replica but not acknowledged.
	maxInflightEntries = 8192
)

// role is the part that a replica plays in its term.
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
	// Rand spreads the election timeouts.
	Rand *rand.Rand
	// IsSettings reports whether a command is a settings command.
	IsSettings func(command []byte) bool
	// MaxVoters bounds the number of voters; zero means no bound. Replicas
	// beyond it stay non-voters until a voter has to be replaced.
	MaxVoters int
}

// Core is the state of one replica. It is not safe for concurrent use.
type Core struct {
	id     uint64
	timing Timing
	rand   *rand.Rand
	// maxVoters is CoreOptions.Voters.
	maxVoters int

	term     uint64
	vote     uint64
	role     role
	leaderID uint64
	log      *entryLog
	commit   uint64
	// given is the last index handed out in Ready.Committed.
	applyRequested uint64

	// voteAfter is the instant before which no vote is granted: a leader may
	// hold a lease that this replica, before its last stop too, supported.
	noVoteBefore clock.Instant
	electionAt   clock.Instant
	// votes holds the answers of the running campaign.
	votes map[uint64]bool

	leaderState leaderState

	lastHardState HardState
	pending       Ready

	// failed is set if the replica can't go on.
	fatalErr error

	// commitAnyTerm plants the fault of the Raft paper's figure 8; only
	// tests set it.
	commitAnyTerm bool
}

// NewCore returns a replica that starts at now from what it had stored.
func NewCore(o CoreOptions, stored Stored, now clock.Instant) (*Core, error) {
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

// Members returns the newest membership in the log.
func (c *Core) Members() Members {
	return c.log.newestMembers().members
}

// IsLeader reports whether the replica leads its term.
func (c *Core) IsLeader() bool {
	return c.role == leader
}

// Tick lets time pass. It must be called before the events that are handled
// at the same instant, so that a leader that lost its quorum accepts none.
func (c *Core) Tick(now clock.Instant) {
	if c.role == leader {
		c.tickLeader(now)
		return
	}
	if !now.Before(c.electionAt) {
		c.startPreVote(now)
	}
}

// NextTick returns the instant at which Tick has something to do.
func (c *Core) NextTick() clock.Instant {
	if c.role == leader {
		return c.leaderState.heartbeatAt
	}
	return c.electionAt
}

// Step handles a message from another replica.
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
	case MsgReadReply:
		c.pending.Reads = append(c.pending.Reads, ReadResult{ID: m.ReadID, Index: m.Index})
	}
}

// adoptTerm moves to the newer term of a message and reports whether the
// message is to be handled. A vote is ignored while a leader may hold a
// lease, so that a replica that was cut off can't depose it (dissertation,
// section 4.2.3). A PreVote changes no term.
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

// answerOldTerm tells a sender that it is behind.
func (c *Core) rejectStaleTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgSnapshot:
		c.send(Message{Type: MsgAppendReply, To: m.From, Reject: true, Hint: c.log.last()})
	case MsgPreVote:
		c.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

// leaderMayLive reports whether a leader may still hold a lease that this
// replica supported.
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

// heardLeader notes a sign of life of the term's leader.
func (c *Core) recordLeaderContact(now clock.Instant, m Message) {
	if c.role != follower {
		c.becomeFollower(now, c.term, m.From)
	}
	c.leaderID = m.From
	c.noVoteBefore = max(c.noVoteBefore, now.Add(c.timing.ElectionTimeout))
	c.resetElectionTimer(now)
}

func (c *Core) resetElectionTimer(now clock.Instant) {
	spread := time.Duration(c.rand.Int64N(int64(c.timing.ElectionTimeout)))
	c.electionAt = now.Add(c.timing.ElectionTimeout + spread)
}

// send queues a message that may go out once everything is stored.
func (c *Core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	c.pending.Messages = append(c.pending.Messages, m)
}

// Ready returns what is to be done since the last call; ok is false if that
// is nothing.
func (c *Core) Ready() (ready Ready, ok bool) {
	r := c.pending
	c.pending = Ready{}
	if state := (HardState{Term: c.term, Vote: c.vote}); state != c.lastHardState {
		r.HardState = &state
		c.lastHardState = state
		// A message of a term must not leave before the term is stored.
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

// Persisted tells that everything handed out was stored and synced.
func (c *Core) Persisted(now clock.Instant) {
	if c.role == leader {
		c.leaderState.syncedIndex = c.log.storeRequested
		c.advanceCommit(now)
	}
}

// Compact drops the log entries that a stored snapshot covers, up to index.
func (c *Core) Compact(index uint64) {
	c.log.compact(min(index, c.applyRequested))
}

// voters returns the voters of the newest membership.
func (c *Core) voters() []uint64 {
	return c.Members().Voters()
}

// isVoter reports whether this replica may vote for itself.
func (c *Core) isVoter() bool {
	return slices.Contains(c.voters(), c.id)
}

// errNotLeader is turned into replog.ErrNotLeader by the driver.
var errNotLeader = errors.New("raft: not the leader")
