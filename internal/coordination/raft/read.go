package raft

import "github.com/lagoonshift/lagoonshift/internal/clock"

// Read asks for a linearizable read without a log entry (dissertation,
// section 6.4). The result comes in Ready.Reads; a lost one must be asked
// for again.
func (c *Core) Read(now clock.Instant, id uint64) {
	switch {
	case c.role == leader:
		c.lead.reads = append(c.lead.reads, read{id: id, from: c.id})
		c.startWaitingReads(now)
	case c.leaderID != 0:
		c.send(Message{Type: MsgRead, To: c.leaderID, ReadID: id})
	}
}

func (c *Core) handleRead(now clock.Instant, m Message) {
	if c.role != leader {
		return
	}
	c.lead.reads = append(c.lead.reads, read{id: m.ReadID, from: m.From})
	c.startWaitingReads(now)
}

// startWaitingReads starts one round for all waiting reads, unless an earlier
// round is still unanswered. The commit index is good for reading only once an
// entry of the own term is committed.
func (c *Core) startWaitingReads(now clock.Instant) {
	if c.commit < c.lead.noop || len(c.lead.reads) == 0 || c.lead.reads[0].round != 0 {
		return
	}
	for i := range c.lead.reads {
		c.lead.reads[i].index = c.commit
		c.lead.reads[i].round = c.lead.round + 1
	}
	c.broadcast(now)
}

// releaseReads answers the reads whose round a majority answered.
func (c *Core) releaseReads(now clock.Instant) {
	if len(c.lead.reads) == 0 {
		return
	}
	round := c.majorityRound()
	kept := c.lead.reads[:0]
	for _, r := range c.lead.reads {
		if r.round == 0 || r.round > round {
			kept = append(kept, r)
			continue
		}
		if r.from == c.id {
			c.pending.Reads = append(c.pending.Reads, ReadResult{ID: r.id, Index: r.index})
			continue
		}
		c.send(Message{Type: MsgReadReply, To: r.from, ReadID: r.id, Index: r.index})
	}
	c.lead.reads = kept
	c.startWaitingReads(now)
}

// majorityRound returns the newest round that a majority answered.
func (c *Core) majorityRound() uint64 {
	voters := c.voters()
	best := uint64(0)
	for _, id := range voters {
		round := c.answeredRound(id)
		answered := 0
		for _, other := range voters {
			if c.answeredRound(other) >= round {
				answered++
			}
		}
		if answered > len(voters)/2 {
			best = max(best, round)
		}
	}
	return best
}

func (c *Core) answeredRound(id uint64) uint64 {
	if id == c.id {
		return c.lead.round
	}
	if p := c.lead.peers[id]; p != nil {
		return p.ackRound
	}
	return 0
}
