package raft

import "github.com/lagoonshift/lagoonshift/internal/clock"

// TransferLeadership starts a transfer of leadership to the active voter with
// the most complete log (dissertation, section 3.10). No command is accepted
// until the transfer is done or an election timeout has passed. It returns
// false if this replica doesn't lead or no other voter is active.
func (c *Core) TransferLeadership(now clock.Instant) bool {
	if c.role != leader {
		return false
	}
	var target *progress
	for _, p := range c.sortedPeers() {
		member, _ := c.Members().find(p.id)
		if !member.Voter || !p.acked || !c.active(now, p.id) {
			continue
		}
		if target == nil || p.match > target.match {
			target = p
		}
	}
	if target == nil {
		return false
	}
	c.leaderState.transferTarget = target.id
	c.leaderState.transferDeadline = now.Add(c.timing.ElectionTimeout)
	c.tryTransfer()
	return true
}

// tryTransfer tells the target to campaign once it has the complete log and all
// of it is committed, so that no command is left with an unknown outcome.
func (c *Core) tryTransfer() {
	if c.role != leader || c.leaderState.transferTarget == 0 || c.leaderState.timeoutNowSent {
		return
	}
	p := c.leaderState.peers[c.leaderState.transferTarget]
	if p == nil || p.match != c.log.last() || c.commit != c.log.last() {
		return
	}
	c.leaderState.timeoutNowSent = true
	c.send(Message{Type: MsgTimeoutNow, To: p.id})
}

// tickTransfer abandons a transfer whose deadline has passed.
func (c *Core) tickTransfer(now clock.Instant) {
	if c.leaderState.transferTarget != 0 && !now.Before(c.leaderState.transferDeadline) {
		c.leaderState.transferTarget = 0
		c.leaderState.timeoutNowSent = false
	}
}
