package raft

import "github.com/lagoonshift/lagoonshift/internal/clock"

// caughtUpEntries is how far behind the commit index a replica may be to
// become a voter.
const maxLearnerLagEntries = 256

// AddLearner adds a replica that receives the log and doesn't vote. Adding it
// again is no change. A learner of the same name is replaced; a voter of the
// same name must be gone.
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

// membershipBusy reports whether the newest membership is not committed. Only
// one voter changes at a time, so that majorities of old and new memberships
// overlap (dissertation, section 4.1).
func (c *Core) membershipChangePending() bool {
	return c.log.newestMembers().index > c.commit
}

func (c *Core) changeMembers(now clock.Instant, next Members) {
	c.appendAsLeader(Entry{Kind: KindMembers, Data: EncodeMembers(next)})
	c.syncPeers()
	c.sendEntries(now)
}

// advanceMembership promotes a learner that has caught up. Where it replaces
// a voter of the same name, or the group is full and a voter is silent, that
// voter is removed first, by its own change.
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

// full reports whether a membership has as many voters as it may have.
func (c *Core) atMaxVoters(members Members) bool {
	return c.maxVoters > 0 && len(members.Voters()) >= c.maxVoters
}

// silentVoter returns a voter that has not answered for so long that a
// non-voter may take its place.
func (c *Core) unresponsiveVoter(now clock.Instant, members Members) (Member, bool) {
	if c.timing.SilentVoter == 0 {
		return Member{}, false
	}
	for _, m := range members {
		if m.Voter && m.ID != c.id && now.Sub(c.lastContact(m.ID)) >= c.timing.SilentVoter {
			return m, true
		}
	}
	return Member{}, false
}

func (c *Core) caughtUp(now clock.Instant, id uint64) bool {
	p := c.leaderState.peers[id]
	return p != nil && p.acked && c.active(now, id) && p.state == replicating && p.match+maxLearnerLagEntries >= c.commit
}

// majorityActive reports whether a membership could commit entries now.
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
