package raft

import "github.com/lagoonshift/lagoonshift/internal/clock"

// Read requests a read index for a linearizable read without a log entry
// (dissertation, section 6.4). The result is returned in Ready.Reads. It may
// get lost; the caller must then request it again.
func (c *Core) Read(now clock.Instant, id uint64) {
	switch {
	case c.role == leader:
		c.leaderState.pendingReads = append(c.leaderState.pendingReads, pendingRead{id: id, from: c.id})
		c.startPendingReads(now)
	case c.leaderID != 0:
		c.send(Message{Type: MsgRead, To: c.leaderID, ReadID: id})
	}
}

func (c *Core) handleRead(now clock.Instant, m Message) {
	if c.role != leader {
		return
	}
	c.leaderState.pendingReads = append(c.leaderState.pendingReads, pendingRead{id: m.ReadID, from: m.From})
	c.startPendingReads(now)
}

// startPendingReads starts one heartbeat round for all pending reads, unless an
// earlier round for reads is not yet acknowledged. The commit index is valid as
// a read index only once an entry of the current term is committed.
func (c *Core) startPendingReads(now clock.Instant) {
	if c.commit < c.leaderState.noopIndex || len(c.leaderState.pendingReads) == 0 || c.leaderState.pendingReads[0].round != 0 {
		return
	}
	for i := range c.leaderState.pendingReads {
		c.leaderState.pendingReads[i].index = c.commit
		c.leaderState.pendingReads[i].round = c.leaderState.heartbeatRound + 1
	}
	c.broadcastHeartbeat(now)
}

// completeReads answers the reads whose heartbeat round a majority of the
// voters has acknowledged.
func (c *Core) completeReads(now clock.Instant) {
	if len(c.leaderState.pendingReads) == 0 {
		return
	}
	round := c.majorityAckedRound()
	kept := c.leaderState.pendingReads[:0]
	for _, r := range c.leaderState.pendingReads {
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
	c.leaderState.pendingReads = kept
	c.startPendingReads(now)
}

// majorityAckedRound returns the newest heartbeat round that a majority of the
// voters has acknowledged.
func (c *Core) majorityAckedRound() uint64 {
	voters := c.voters()
	best := uint64(0)
	for _, id := range voters {
		round := c.ackedRound(id)
		answered := 0
		for _, other := range voters {
			if c.ackedRound(other) >= round {
				answered++
			}
		}
		if answered > len(voters)/2 {
			best = max(best, round)
		}
	}
	return best
}

func (c *Core) ackedRound(id uint64) uint64 {
	if id == c.id {
		return c.leaderState.heartbeatRound
	}
	if p := c.leaderState.peers[id]; p != nil {
		return p.ackedRound
	}
	return 0
}
