package raft

import (
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// quorumAckTime returns the latest instant such that a majority of the voters
// has replied to a message sent at or after it. If this replica is a voter, it
// counts as having replied at now.
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

// quorumActive reports whether the leader still has a quorum, that is, whether
// a majority has replied to messages sent within the last election timeout. It
// also holds during the first election timeout after the election.
func (c *Core) quorumActive(now clock.Instant) bool {
	contactAt := c.leaderState.electedAt
	if sent, ok := c.quorumAckTime(now); ok {
		contactAt = max(contactAt, sent)
	}
	return now.Sub(contactAt) < c.timing.ElectionTimeout
}

// Lease returns the end of the leader's authority; ok is false if it has none.
// A majority refuses to vote for an election timeout after it replied, so no
// other leader can be elected before the lease ends. A leader elected through a
// leadership transfer first waits until its predecessor's lease has ended.
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

// active reports whether a replica has replied to a message sent within the
// last election timeout. Every member counts as active during the first
// election timeout after the election.
func (c *Core) active(now clock.Instant, id uint64) bool {
	if id == c.id {
		return true
	}
	if c.leaderState.peers[id] == nil {
		return false
	}
	return now.Sub(c.lastContact(id)) < c.timing.ElectionTimeout
}

// lastContact returns the instant at which the newest message that a replica
// replied to was sent, or the instant of the election if that is later.
func (c *Core) lastContact(id uint64) clock.Instant {
	contactAt := c.leaderState.electedAt
	if p := c.leaderState.peers[id]; p != nil && p.acked {
		contactAt = max(contactAt, p.ackedSentAt)
	}
	return contactAt
}
