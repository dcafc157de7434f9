package raft

import "github.com/lagoonshift/lagoonshift/internal/clock"

// maxLearnerLagEntries is the number of entries that a learner may be behind
// the commit index when it is promoted to voter.
const maxLearnerLagEntries = 256

// AddLearner adds a replica that receives the log but doesn't vote. It does
// nothing if the replica is already a member. A learner with the same name is
// replaced. It fails with errNotLeader, with ErrMembershipBusy, and with
// ErrNameInUse if an active voter has the same name.
func (c *Core) AddLearner(now clock.Instant, added Member) error {
	if c.role != leader || c.leaderState.transferTarget != 0 || c.commit < c.leaderState.noopIndex {
		return errNotLeader
	}
	members := c.Members()
	if _, ok := members.find(added.ID); ok {
		return nil
	}
	if c.membershipChangePending() {
		return ErrMembershipBusy
	}
	if old, ok := members.voterNamed(added.Name); ok && c.active(now, old.ID) {
		return ErrNameInUse
	}
	added.Voter = false
	rest := members.without(func(m Member) bool { return !m.Voter && m.Name == added.Name })
	c.changeMembers(now, rest.with(added))
	return nil
}

// membershipChangePending reports whether the newest membership is not yet
// committed. Only one voter changes at a time, so that the majorities of the
// old and the new membership overlap (dissertation, section 4.1).
func (c *Core) membershipChangePending() bool {
	return c.log.newestMembers().index > c.commit
}

func (c *Core) changeMembers(now clock.Instant, next Members) {
	previous := c.Members()
	c.appendAsLeader(Entry{Kind: KindMembers, Data: EncodeMembers(next)})
	for _, m := range previous {
		if _, kept := next.find(m.ID); !kept && c.leaderState.peers[m.ID] != nil {
			// The last append to a removed replica tells it of its removal.
			c.sendNext(now, c.leaderState.peers[m.ID])
		}
	}
	c.syncPeers()
	c.sendEntries(now)
}

// reviseVoters makes the next membership change that keeps the group at
// maxVoters voters that respond: it removes a surplus voter or gives a learner that
// has caught up a vote. Each call starts at most one change, and only once the
// previous one is committed.
func (c *Core) reviseVoters(now clock.Instant) {
	if c.role != leader || c.membershipChangePending() || c.commit < c.leaderState.noopIndex || c.leaderState.transferTarget != 0 {
		return
	}
	members := c.Members()
	if next, ok := c.withoutSurplusVoter(now, members); ok && c.majorityActive(now, next) {
		c.changeMembers(now, next)
		return
	}
	for _, m := range members {
		if m.Voter || !c.caughtUp(now, m.ID) {
			continue
		}
		if next, ok := c.towardsPromotion(now, members, m); ok && c.majorityActive(now, next) {
			c.changeMembers(now, next)
			return
		}
	}
}

// withoutSurplusVoter returns the membership without a leaving or unresponsive
// voter; ok is false if there are at most maxVoters voters or all of them
// respond.
func (c *Core) withoutSurplusVoter(now clock.Instant, members Members) (next Members, ok bool) {
	if c.maxVoters == 0 || len(members.Voters()) <= c.maxVoters {
		return nil, false
	}
	surplus, ok := c.leavingVoter(now, members)
	if !ok {
		surplus, ok = c.unresponsiveVoter(now, members)
	}
	return members.withoutID(surplus.ID), ok
}

// towardsPromotion returns the next membership on the way to the one in which
// a learner that has caught up is a voter; ok is false if no vote is free.
//
// A voter that doesn't respond is removed first, because its vote only enlarges the
// quorum. One that is leaving still responds, so it is removed last: meanwhile the
// group has one voter more than maxVoters and survives the loss of any of them.
func (c *Core) towardsPromotion(now clock.Instant, members Members, learner Member) (next Members, ok bool) {
	if old, found := members.voterNamed(learner.Name); found {
		return members.withoutID(old.ID), !c.active(now, old.ID)
	}
	promoted := members.with(Member{ID: learner.ID, Name: learner.Name, Address: learner.Address, Voter: true})
	voters := len(members.Voters())
	if c.maxVoters == 0 || voters < c.maxVoters {
		return promoted, true
	}
	if _, found := c.leavingVoter(now, members); found && voters == c.maxVoters {
		return promoted, true
	}
	old, ok := c.unresponsiveVoter(now, members)
	return members.withoutID(old.ID), ok
}

// leavingVoter returns a voter that is shutting down.
func (c *Core) leavingVoter(now clock.Instant, members Members) (Member, bool) {
	for _, m := range members {
		if p := c.leaderState.peers[m.ID]; m.Voter && p != nil && now.Before(p.leavingUntil) {
			return m, true
		}
	}
	return Member{}, false
}

// unresponsiveVoter returns a voter that has not replied for
// Timing.VoterReplacementTimeout and may therefore be replaced by a learner.
func (c *Core) unresponsiveVoter(now clock.Instant, members Members) (Member, bool) {
	if c.timing.VoterReplacementTimeout == 0 {
		return Member{}, false
	}
	for _, m := range members {
		if m.Voter && !c.active(now, m.ID) && now.Sub(c.silentSince(m.ID)) >= c.timing.VoterReplacementTimeout {
			return m, true
		}
	}
	return Member{}, false
}

// silentSince returns the instant since which a replica has not replied. The
// election of this leader restarts that time, except for its predecessor, whose
// silence caused the election.
func (c *Core) silentSince(id uint64) clock.Instant {
	if p := c.leaderState.peers[id]; id == c.heardLeaderID && (p == nil || !p.acked) {
		return c.heardLeaderAt
	}
	return c.lastContact(id)
}

// Leave tells the leader that this replica is shutting down, so that a learner
// takes over its vote. It reports whether there is a handover to wait for; the
// caller then repeats the call, because the message may get lost.
func (c *Core) Leave() (pending bool) {
	members := c.Members()
	voters := len(members.Voters())
	learners := len(members) - voters
	// Without a limit on voters, each learner becomes one anyway.
	if c.maxVoters == 0 || c.role == leader || !c.isVoter() || learners == 0 && voters <= c.maxVoters {
		return false
	}
	if c.leaderID != 0 {
		c.send(Message{Type: MsgLeaving, To: c.leaderID})
	}
	return true
}

func (c *Core) handleLeaving(now clock.Instant, m Message) {
	p := c.leaderState.peers[m.From]
	if c.role != leader || p == nil {
		return
	}
	// After that time the voter is either unresponsive or has been restarted.
	p.leavingUntil = now.Add(c.timing.VoterReplacementTimeout)
	c.reviseVoters(now)
}

func (c *Core) caughtUp(now clock.Instant, id uint64) bool {
	p := c.leaderState.peers[id]
	return p != nil && p.acked && c.active(now, id) && p.state == replicating && p.match+maxLearnerLagEntries >= c.commit
}

// majorityActive reports whether a majority of the voters of a membership is
// active, so that it can commit entries.
func (c *Core) majorityActive(now clock.Instant, members Members) bool {
	voters := members.Voters()
	activeVoters := 0
	for _, id := range voters {
		if c.active(now, id) {
			activeVoters++
		}
	}
	return activeVoters > len(voters)/2
}
