package raft

import "github.com/lagoonshift/lagoonshift/internal/clock"

// Transfer hands leadership to the voter whose log is furthest (dissertation,
// section 3.10). Until that is done or an election timeout has passed, no
// command is accepted. It reports false if there is nobody to hand over to.
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

// tryTransfer lets the target campaign once it has the whole log and all of
// it is committed, so that no command's outcome is left open.
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

// tickTransfer gives up a transfer that takes too long.
func (c *Core) tickTransfer(now clock.Instant) {
	if c.leaderState.transferTarget != 0 && !now.Before(c.leaderState.transferDeadline) {
		c.leaderState.transferTarget = 0
		c.leaderState.timeoutNowSent = false
	}
}
