package raft

import (
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// flow tells how appends to a replica are paced.
type flow uint8

const (
	// probing sends one append and waits for the answer.
	probing flow = iota
	// replicating sends appends without waiting.
	replicating
	// snapshotting sends only heartbeats until a snapshot has arrived.
	snapshotting
)

// progress is what a leader knows of another replica.
type progress struct {
	id    uint64
	flow  flow
	match uint64
	next  uint64
	// asked is set while a probe waits for its answer.
	asked bool
	// acked is set once the replica answered in this term; ackSent is then
	// the leader's clock when the newest answered message was sent, and
	// ackRound that message's round.
	acked    bool
	ackSent  clock.Instant
	ackRound uint64
}

// read is a read that waits for a round of heartbeats.
type read struct {
	id    uint64
	from  uint64
	index uint64
	round uint64
}

// leadership is the state that exists only in a leader.
type leadership struct {
	since clock.Instant
	// forced is set if the votes passed over the previous leader's lease.
	forced      bool
	heartbeatAt clock.Instant
	round       uint64
	peers       map[uint64]*progress
	// noop is the index of the term's first entry.
	noop uint64
	// stored is the last index that this replica has synced itself.
	stored uint64
	reads  []read
	// transferTo is the replica that is to lead next, or zero; the transfer
	// is given up at transferEnd.
	transferTo  uint64
	transferEnd clock.Instant
	transferred bool
}

func (c *Core) becomeLeader(now clock.Instant) {
	forced := c.lead.forced
	c.role = leader
	c.leaderID = c.id
	c.votes = nil
	c.lead = leadership{
		since:       now,
		forced:      forced,
		heartbeatAt: now.Add(c.timing.Heartbeat),
		peers:       make(map[uint64]*progress),
		stored:      c.log.handed,
	}
	c.syncPeers()
	c.appendOwn(Entry{Kind: KindNoop})
	c.lead.noop = c.log.last()
	c.broadcast(now)
}

// leaveLeadership keeps supporting the own lease: no vote is granted until
// the last authority has ended.
func (c *Core) leaveLeadership(now clock.Instant) {
	if sent, ok := c.quorumAck(now); ok {
		c.voteAfter = max(c.voteAfter, sent.Add(c.timing.ElectionTimeout))
	}
	c.lead = leadership{}
}

// syncPeers makes the progress table follow the newest membership.
func (c *Core) syncPeers() {
	members := c.Members()
	for _, m := range members {
		if m.ID != c.id && c.lead.peers[m.ID] == nil {
			c.lead.peers[m.ID] = &progress{id: m.ID, next: c.log.last() + 1}
		}
	}
	for id := range c.lead.peers {
		if _, ok := members.find(id); !ok {
			delete(c.lead.peers, id)
		}
	}
}

// sortedPeers returns the progress table in a fixed order.
func (c *Core) sortedPeers() []*progress {
	out := make([]*progress, 0, len(c.lead.peers))
	for _, m := range c.Members() {
		if p := c.lead.peers[m.ID]; p != nil {
			out = append(out, p)
		}
	}
	return out
}

// appendOwn appends an entry in the leader's term and returns its index.
func (c *Core) appendOwn(e Entry) uint64 {
	e.Index, e.Term = c.log.last()+1, c.term
	c.log.append(e)
	return e.Index
}

// Propose appends commands and returns the index of the first and the term.
func (c *Core) Propose(now clock.Instant, commands [][]byte) (first, term uint64, err error) {
	if c.role != leader || c.lead.transferTo != 0 {
		return 0, 0, errNotLeader
	}
	first = c.log.last() + 1
	for _, command := range commands {
		c.appendOwn(Entry{Kind: KindCommand, Data: command})
	}
	c.sendEntries(now)
	return first, c.term, nil
}

// sendEntries sends what each replica can take now.
func (c *Core) sendEntries(now clock.Instant) {
	for _, p := range c.sortedPeers() {
		for c.sendNext(now, p) {
		}
	}
}

// sendNext sends one append with entries; it reports whether more may follow.
func (c *Core) sendNext(now clock.Instant, p *progress) bool {
	full := p.next > p.match+maxInflight
	if p.next > c.log.last() || p.flow == snapshotting || full || (p.flow == probing && p.asked) {
		return false
	}
	c.sendAppend(now, p, true)
	return p.flow == replicating
}

// sendAppend sends an append, with entries or as a heartbeat.
func (c *Core) sendAppend(now clock.Instant, p *progress, withEntries bool) {
	m := Message{Type: MsgAppend, From: c.id, To: p.id, Term: c.term, Commit: c.commit, Sent: now, Round: c.lead.round}
	previous := p.next - 1
	term, err := c.log.term(previous)
	if err != nil {
		c.needSnapshot(now, p)
	} else if p.flow != snapshotting {
		m.Index, m.LogTerm = previous, term
		if withEntries {
			m.Entries = c.log.batch(p.next, maxAppendBytes)
		}
	}
	if p.flow == replicating {
		p.next += uint64(len(m.Entries))
	}
	p.asked = true
	c.pending.Early = append(c.pending.Early, m)
}

// needSnapshot asks the driver to send a snapshot to a replica that needs
// entries which are compacted. A replica that doesn't answer gets heartbeats
// only, or its leader would read and send the snapshot again and again.
func (c *Core) needSnapshot(now clock.Instant, p *progress) {
	if p.flow == snapshotting {
		return
	}
	if !p.acked || now.Sub(p.ackSent) >= c.timing.ElectionTimeout {
		// No entries can be sent until it answers; a replicating flow would
		// go on without ever advancing.
		p.flow = probing
		return
	}
	p.flow = snapshotting
	c.pending.SnapshotTo = append(c.pending.SnapshotTo, p.id)
}

// broadcast starts a new round of heartbeats.
func (c *Core) broadcast(now clock.Instant) {
	c.lead.round++
	for _, p := range c.sortedPeers() {
		c.sendAppend(now, p, p.flow == probing)
	}
	c.releaseReads(now)
}

func (c *Core) tickLeader(now clock.Instant) {
	if !c.quorumHeard(now) {
		c.becomeFollower(now, c.term, 0)
		return
	}
	c.tickTransfer(now)
	if now.Before(c.lead.heartbeatAt) {
		return
	}
	c.lead.heartbeatAt = now.Add(c.timing.Heartbeat)
	c.broadcast(now)
	c.advanceMembership(now)
}

func (c *Core) handleAppendReply(now clock.Instant, m Message) {
	p := c.lead.peers[m.From]
	if c.role != leader || p == nil {
		return
	}
	c.noteAck(now, p, m)
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

func (c *Core) noteAck(now clock.Instant, p *progress, m Message) {
	if !p.acked || p.ackSent.Before(m.Sent) {
		p.acked, p.ackSent = true, m.Sent
	}
	p.ackRound = max(p.ackRound, m.Round)
	c.releaseReads(now)
}

func (c *Core) handleMatch(p *progress, m Message) {
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	p.asked = false
	// While a snapshot is under way, heartbeats match only at index zero.
	if p.flow == probing || p.match >= c.log.base {
		p.flow = replicating
	}
}

// handleReject steps back to the follower's hint (Raft paper, end of section
// 5.3). A reject of an append before the known match is late.
func (c *Core) handleReject(now clock.Instant, p *progress, m Message) {
	late := m.Index <= p.match || m.Index >= p.next || (p.flow == probing && m.Index != p.next-1)
	if p.flow == snapshotting || late {
		return
	}
	p.flow = probing
	p.asked = false
	p.next = max(p.match, min(m.Hint, m.Index-1)) + 1
	c.sendAppend(now, p, true)
}

// SnapshotSent tells that a snapshot transfer to a replica ended; index is
// the snapshot's, or zero if the transfer failed.
func (c *Core) SnapshotSent(id, index uint64) {
	p := c.lead.peers[id]
	if p == nil || p.flow != snapshotting {
		return
	}
	p.flow = probing
	p.asked = false
	p.next = max(p.match, index) + 1
}

// advanceCommit commits what a majority of the voters has stored, but only
// with an entry of the own term (Raft paper, section 5.4.2).
func (c *Core) advanceCommit(now clock.Instant) {
	index := c.majorityMatch()
	term, err := c.log.term(index)
	if index <= c.commit || err != nil || (term != c.term && !c.commitAnyTerm) {
		return
	}
	c.commit = index
	c.startWaitingReads(now)
	c.tryTransfer()
}

// majorityMatch returns the highest index stored by a majority.
func (c *Core) majorityMatch() uint64 {
	var matches []uint64
	for _, id := range c.voters() {
		switch p := c.lead.peers[id]; {
		case id == c.id:
			matches = append(matches, c.lead.stored)
		case p != nil:
			matches = append(matches, p.match)
		}
	}
	slices.Sort(matches)
	return matches[(len(matches)-1)/2]
}
