package raft

import (
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// quorumAck returns the newest instant such that a majority of the voters,
// this replica included, answered a message sent at or after it. The replica
// itself counts as having answered at now.
func (c *Core) quorumAckTime(now clock.Instant) (sent clock.Instant, ok bool) {
	voters := c.voters()
	var acks []clock.Instant
	for _, id := range voters {
		if id == c.id {
			acks = append(acks, now)
			continue
		}
		if p := c.leaderState.peers[id]; p != nil && p.acked {
			acks = append(acks, p.ackedSentAt)
		}
	}
	majority := len(voters)/2 + 1
	if len(acks) < majority {
		return 0, false
	}
	slices.Sort(acks)
	return acks[len(acks)-majority], true
}

// quorumHeard reports whether the leader still has its quorum: a majority
// answered a message of the last election timeout.
func (c *Core) quorumActive(now clock.Instant) bool {
	contactAt := c.leaderState.electedAt
	if sent, ok := c.quorumAckTime(now); ok {
		contactAt = max(contactAt, sent)
	}
	return now.Sub(contactAt) < c.timing.ElectionTimeout
}

// Lease returns the end of the leader's authority. A majority refuses its
// votes until an election timeout after the instant at which it answered, so
// no other leader exists before the end. A leader that came by a transfer
// first waits until its predecessor's lease has ended.
func (c *Core) Lease(now clock.Instant) (until clock.Instant, ok bool) {
	if c.role != leader || c.leaderState.transferTarget != 0 || c.commit < c.leaderState.noopIndex {
		return 0, false
	}
	if c.leaderState.forcedElection && now.Before(c.leaderState.electedAt.Add(c.timing.ElectionTimeout)) {
		return 0, false
	}
	sent, ok := c.quorumAckTime(now)
	if !ok {
		return 0, false
	}
	return sent.Add(c.timing.ElectionTimeout - c.timing.LeaseMargin), true
}

// active reports whether a replica answered within an election timeout or had
// no time to do so yet.
func (c *Core) active(now clock.Instant, id uint64) bool {
	if id == c.id {
		return true
	}
	if c.leaderState.peers[id] == nil {
		return false
	}
	return now.Sub(c.lastContact(id)) < c.timing.ElectionTimeout
}

// lastHeard returns when the newest message that a replica answered was sent,
// or when the leadership began.
func (c *Core) lastContact(id uint64) clock.Instant {
	contactAt := c.leaderState.electedAt
	if p := c.leaderState.peers[id]; p != nil && p.acked {
		contactAt = max(contactAt, p.ackedSentAt)
	}
	return contactAt
}
