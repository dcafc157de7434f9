package raft

import (
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// progressState determines how a leader paces its appends to a replica.
type progressState uint8

const (
	// probing sends one append and waits for the reply.
	probing progressState = iota
	// replicating sends appends without waiting for replies.
	replicating
	// snapshotting sends only heartbeats until the snapshot transfer ends.
	snapshotting
)

// progress is a leader's view of another replica's log. match and next are
// matchIndex and nextIndex of the Raft paper.
type progress struct {
	id    uint64
	state progressState
	match uint64
	next  uint64
	// probeInFlight is set while a probe waits for its reply.
	probeInFlight bool
	// acked is set once the replica has replied in this term. ackedSentAt is
	// then the instant, on the leader's clock, at which the newest message
	// that was replied to had been sent, and ackedRound the newest heartbeat
	// round that was replied to.
	acked       bool
	ackedSentAt clock.Instant
	ackedRound  uint64
	// leavingUntil is the end of the time in which the replica counts as shutting
	// down. It is zero if the replica has not said so.
	leavingUntil clock.Instant
}

// pendingRead is a read that waits for a heartbeat round to be acknowledged by
// a majority.
type pendingRead struct {
	id    uint64
	from  uint64
	index uint64
	round uint64
}

// leaderState is the state that exists only in a leader.
type leaderState struct {
	electedAt clock.Instant
	// forcedElection is set if the voters ignored the previous leader's lease
	// because of a leadership transfer.
	forcedElection bool
	heartbeatAt    clock.Instant
	heartbeatRound uint64
	peers          map[uint64]*progress
	// noopIndex is the index of the first entry of the leader's term.
	noopIndex uint64
	// syncedIndex is the last index that this replica has made durable.
	syncedIndex  uint64
	pendingReads []pendingRead
	// transferTarget is the replica to which leadership is being transferred,
	// or zero. The transfer is abandoned at transferDeadline.
	transferTarget   uint64
	transferDeadline clock.Instant
	timeoutNowSent   bool
}

func (c *Core) becomeLeader(now clock.Instant) {
	forced := c.leaderState.forcedElection
	c.role = leader
	c.leaderID = c.id
	c.votes = nil
	c.leaderState = leaderState{
		electedAt:      now,
		forcedElection: forced,
		heartbeatAt:    now.Add(c.timing.Heartbeat),
		peers:          make(map[uint64]*progress),
		syncedIndex:    c.log.storeRequested,
	}
	c.syncPeers()
	c.appendAsLeader(Entry{Kind: KindNoop})
	c.leaderState.noopIndex = c.log.last()
	c.broadcastHeartbeat(now)
}

// stepDown clears the leader state. The replica keeps supporting its own lease:
// it grants no vote before its last authority has ended.
func (c *Core) stepDown(now clock.Instant) {
	if sent, ok := c.quorumAckTime(now); ok {
		c.noVoteBefore = max(c.noVoteBefore, sent.Add(c.timing.ElectionTimeout))
	}
	c.leaderState = leaderState{}
}

// syncPeers adds and removes progress entries to match the newest membership.
func (c *Core) syncPeers() {
	members := c.Members()
	for _, m := range members {
		if m.ID != c.id && c.leaderState.peers[m.ID] == nil {
			c.leaderState.peers[m.ID] = &progress{id: m.ID, next: c.log.last() + 1}
		}
	}
	for id := range c.leaderState.peers {
		if _, ok := members.find(id); !ok {
			delete(c.leaderState.peers, id)
		}
	}
}

// sortedPeers returns the progress entries in the order of the membership.
func (c *Core) sortedPeers() []*progress {
	out := make([]*progress, 0, len(c.leaderState.peers))
	for _, m := range c.Members() {
		if p := c.leaderState.peers[m.ID]; p != nil {
			out = append(out, p)
		}
	}
	return out
}

// appendAsLeader appends an entry in the current term and returns its index.
func (c *Core) appendAsLeader(e Entry) uint64 {
	e.Index, e.Term = c.log.last()+1, c.term
	c.log.append(e)
	return e.Index
}

// Propose appends commands and returns the index of the first one and their
// term. It fails if the replica doesn't lead or is transferring leadership.
func (c *Core) Propose(now clock.Instant, commands [][]byte) (first, term uint64, err error) {
	if c.role != leader || c.leaderState.transferTarget != 0 {
		return 0, 0, errNotLeader
	}
	first = c.log.last() + 1
	for _, command := range commands {
		c.appendAsLeader(Entry{Kind: KindCommand, Data: command})
	}
	c.sendEntries(now)
	return first, c.term, nil
}

// sendEntries sends each replica the entries that its progress permits.
func (c *Core) sendEntries(now clock.Instant) {
	for _, p := range c.sortedPeers() {
		for c.sendNext(now, p) {
		}
	}
}

// sendNext sends one append with entries if the replica's progress permits it.
// It reports whether the caller may try to send another one.
func (c *Core) sendNext(now clock.Instant, p *progress) bool {
	windowFull := p.next > p.match+maxInflightEntries
	if p.next > c.log.last() || p.state == snapshotting || windowFull || (p.state == probing && p.probeInFlight) {
		return false
	}
	c.sendAppend(now, p, true)
	return p.state == replicating
}

// sendAppend sends an append, with entries or as an empty heartbeat.
func (c *Core) sendAppend(now clock.Instant, p *progress, withEntries bool) {
	m := Message{Type: MsgAppend, From: c.id, To: p.id, Term: c.term, Commit: c.commit, Sent: now, Round: c.leaderState.heartbeatRound}
	previous := p.next - 1
	term, err := c.log.term(previous)
	if err != nil {
		c.requestSnapshot(now, p)
	} else if p.state != snapshotting {
		m.Index, m.LogTerm = previous, term
		if withEntries {
			m.Entries = c.log.batch(p.next, maxAppendBytes)
		}
	}
	if p.state == replicating {
		p.next += uint64(len(m.Entries))
	}
	p.probeInFlight = true
	c.pending.ImmediateMessages = append(c.pending.ImmediateMessages, m)
}

// requestSnapshot asks the driver to send a snapshot to a replica that needs
// compacted entries. An unresponsive replica gets only heartbeats; otherwise
// the leader would read and send the snapshot over and over.
func (c *Core) requestSnapshot(now clock.Instant, p *progress) {
	if p.state == snapshotting {
		return
	}
	if !p.acked || now.Sub(p.ackedSentAt) >= c.timing.ElectionTimeout {
		// No entries can be sent until it replies. In the replicating state,
		// sendEntries would loop forever because next never advances.
		p.state = probing
		return
	}
	p.state = snapshotting
	c.pending.SnapshotTargets = append(c.pending.SnapshotTargets, p.id)
}

// broadcastHeartbeat starts a new round of heartbeats.
func (c *Core) broadcastHeartbeat(now clock.Instant) {
	c.leaderState.heartbeatRound++
	for _, p := range c.sortedPeers() {
		c.sendAppend(now, p, p.state == probing)
	}
	c.completeReads(now)
}

func (c *Core) tickLeader(now clock.Instant) {
	if !c.quorumActive(now) {
		c.becomeFollower(now, c.term, 0)
		return
	}
	c.tickTransfer(now)
	if now.Before(c.leaderState.heartbeatAt) {
		return
	}
	c.leaderState.heartbeatAt = now.Add(c.timing.Heartbeat)
	c.broadcastHeartbeat(now)
	c.reviseVoters(now)
}

func (c *Core) handleAppendReply(now clock.Instant, m Message) {
	p := c.leaderState.peers[m.From]
	if c.role != leader || p == nil {
		return
	}
	c.recordAck(now, p, m)
	if m.Reject {
		c.handleReject(now, p, m)
	} else {
		c.handleMatch(p, m)
	}
	c.advanceCommit(now)
	for c.sendNext(now, p) {
	}
	c.tryTransfer()
}

func (c *Core) recordAck(now clock.Instant, p *progress, m Message) {
	if !p.acked || p.ackedSentAt.Before(m.Sent) {
		p.acked, p.ackedSentAt = true, m.Sent
	}
	p.ackedRound = max(p.ackedRound, m.Round)
	c.completeReads(now)
}

func (c *Core) handleMatch(p *progress, m Message) {
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	p.probeInFlight = false
	// During a snapshot transfer, heartbeats match only at index zero.
	if p.state == probing || p.match >= c.log.base {
		p.state = replicating
	}
}

// handleReject moves next back to the follower's hint (Raft paper, end of
// section 5.3). A rejection that doesn't fit the current match and next belongs
// to an earlier append and is ignored.
func (c *Core) handleReject(now clock.Instant, p *progress, m Message) {
	stale := m.Index <= p.match || m.Index >= p.next || (p.state == probing && m.Index != p.next-1)
	if p.state == snapshotting || stale {
		return
	}
	p.state = probing
	p.probeInFlight = false
	p.next = max(p.match, min(m.Hint, m.Index-1)) + 1
	c.sendAppend(now, p, true)
}

// SnapshotSent reports to the core that the snapshot transfer to a replica has
// ended. index is the snapshot's index, or zero if the transfer failed.
func (c *Core) SnapshotSent(id, index uint64) {
	p := c.leaderState.peers[id]
	if p == nil || p.state != snapshotting {
		return
	}
	p.state = probing
	p.probeInFlight = false
	p.next = max(p.match, index) + 1
}

// advanceCommit commits the entries that a majority of the voters has stored,
// provided that the last of them is of the current term (Raft paper, section
// 5.4.2).
func (c *Core) advanceCommit(now clock.Instant) {
	index := c.majorityMatch()
	term, err := c.log.term(index)
	if index <= c.commit || err != nil || (term != c.term && !c.commitAnyTerm) {
		return
	}
	c.commit = index
	c.startPendingReads(now)
	c.tryTransfer()
}

// majorityMatch returns the highest index that a majority of the voters has
// stored.
func (c *Core) majorityMatch() uint64 {
	var matches []uint64
	for _, id := range c.voters() {
		switch p := c.leaderState.peers[id]; {
		case id == c.id:
			matches = append(matches, c.leaderState.syncedIndex)
		case p != nil:
			matches = append(matches, p.match)
		}
	}
	slices.Sort(matches)
	return matches[(len(matches)-1)/2]
}
