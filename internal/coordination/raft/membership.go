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
	c.appendAsLeader(Entry{Kind: KindMembers, Data: EncodeMembers(next)})
	c.syncPeers()
	c.sendEntries(now)
}

// promoteLearner promotes a learner that has caught up. If the learner replaces
// an inactive voter with the same name, or an unresponsive voter of a group
// that has MaxVoters voters, that voter is removed first, in a separate
// membership change.
func (c *Core) promoteLearner(now clock.Instant) {
	if c.membershipChangePending() || c.commit < c.leaderState.noopIndex || c.leaderState.transferTarget != 0 {
		return
	}
	members := c.Members()
	for _, m := range members {
		if m.Voter || !c.caughtUp(now, m.ID) {
			continue
		}
		old, replaces := members.voterNamed(m.Name)
		if replaces && c.active(now, old.ID) {
			continue
		}
		if !replaces && c.atMaxVoters(members) {
			if old, replaces = c.unresponsiveVoter(now, members); !replaces {
				continue
			}
		}
		next := members.with(Member{ID: m.ID, Name: m.Name, Address: m.Address, Voter: true})
		if replaces {
			next = members.without(func(other Member) bool { return other.ID == old.ID })
		}
		if c.majorityActive(now, next) {
			c.changeMembers(now, next)
			return
		}
	}
}

// atMaxVoters reports whether a membership has reached the maximum number of
// voters.
func (c *Core) atMaxVoters(members Members) bool {
	return c.maxVoters > 0 && len(members.Voters()) >= c.maxVoters
}

// unresponsiveVoter returns a voter that has not replied for
// Timing.VoterReplacementTimeout and may therefore be replaced by a learner.
func (c *Core) unresponsiveVoter(now clock.Instant, members Members) (Member, bool) {
	if c.timing.VoterReplacementTimeout == 0 {
		return Member{}, false
	}
	for _, m := range members {
		if m.Voter && m.ID != c.id && now.Sub(c.lastContact(m.ID)) >= c.timing.VoterReplacementTimeout {
			return m, true
		}
	}
	return Member{}, false
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
