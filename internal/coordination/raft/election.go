package raft

import "github.com/lagoonshift/lagoonshift/internal/clock"

// startPreVote asks the voters whether a campaign could succeed, without
// starting a new term (dissertation, section 9.6).
func (c *Core) startPreVote(now clock.Instant) {
	c.resetElectionTimer(now)
	if !c.isVoter() {
		// A replica that was removed must notice that no leader contacts it.
		c.leaderID = 0
		return
	}
	if now.Before(c.noVoteBefore) {
		return
	}
	c.role = preCandidate
	c.leaderID = 0
	c.votes = map[uint64]bool{c.id: true}
	if c.hasVoteMajority() {
		c.campaign(now, false)
		return
	}
	c.requestVotes(MsgPreVote, c.term+1, false)
}

// campaign starts a new term and requests votes (Raft paper, section 5.2).
// With force, voters ignore the lease that they support.
func (c *Core) campaign(now clock.Instant, force bool) {
	c.resetElectionTimer(now)
	c.role = candidate
	c.leaderID = 0
	c.term++
	c.vote = c.id
	c.votes = map[uint64]bool{c.id: true}
	c.leaderState.forcedElection = force
	if c.hasVoteMajority() {
		c.becomeLeader(now)
		return
	}
	c.requestVotes(MsgVote, c.term, force)
}

func (c *Core) requestVotes(kind MessageType, term uint64, force bool) {
	for _, id := range c.voters() {
		if id == c.id {
			continue
		}
		c.send(Message{
			Type:    kind,
			To:      id,
			Term:    term,
			Index:   c.log.last(),
			LogTerm: c.log.lastTerm(),
			Force:   force,
		})
	}
}

// candidateUpToDate reports whether the log of the candidate that sent m is at
// least as up to date as this one (Raft paper, section 5.4.1).
func (c *Core) candidateUpToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *Core) handlePreVote(now clock.Instant, m Message) {
	grant := m.Term > c.term && !c.leaderMayHoldLease(now) && c.candidateUpToDate(m)
	reply := Message{Type: MsgPreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = c.term
	}
	c.send(reply)
}

func (c *Core) handlePreVoteReply(now clock.Instant, m Message) {
	if c.role != preCandidate || m.Reject || m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = true
	if c.hasVoteMajority() {
		c.campaign(now, false)
	}
}

func (c *Core) handleVote(now clock.Instant, m Message) {
	free := c.vote == 0 || c.vote == m.From
	blocked := !m.Force && c.leaderMayHoldLease(now)
	grant := free && !blocked && c.candidateUpToDate(m)
	if grant {
		c.becomeFollower(now, c.term, 0)
		c.vote = m.From
		c.resetElectionTimer(now)
	}
	c.send(Message{Type: MsgVoteReply, To: m.From, Reject: !grant})
}

func (c *Core) handleVoteReply(now clock.Instant, m Message) {
	if c.role != candidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.hasVoteMajority() {
		c.becomeLeader(now)
	}
}

// hasVoteMajority reports whether a majority of the voters granted their vote.
func (c *Core) hasVoteMajority() bool {
	voters := c.voters()
	granted := 0
	for _, id := range voters {
		if c.votes[id] {
			granted++
		}
	}
	return granted > len(voters)/2
}

// handleTimeoutNow starts an election immediately because the leader transfers
// its leadership. The forced votes ignore the leases that voters still support;
// to compensate, the new leader waits before it takes authority.
func (c *Core) handleTimeoutNow(now clock.Instant) {
	if c.role == follower && c.isVoter() {
		c.campaign(now, true)
	}
}
