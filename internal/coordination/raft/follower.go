package raft

import (
	"fmt"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

func (c *Core) handleAppend(now clock.Instant, m Message) {
	c.recordLeaderContact(now, m)
	reply := Message{Type: MsgAppendReply, To: m.From, Index: m.Index, Sent: m.Sent, Round: m.Round}
	if m.Index > c.log.base && !c.log.matches(m.Index, m.LogTerm) {
		reply.Reject = true
		reply.Hint = c.rejectHint(m)
		c.send(reply)
		return
	}
	c.appendMissing(m.Entries)
	if c.fatalErr != nil {
		return
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, reply.Index))
	c.send(reply)
}

// appendMissing appends the entries that the log lacks and first removes those
// that conflict with them. By the Leader Completeness property no entry at or
// below the commit index conflicts; one that does sets fatalErr.
func (c *Core) appendMissing(entries []Entry) {
	for i, e := range entries {
		if e.Index <= c.log.base || c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.last() {
			if e.Index <= c.commit {
				c.fatalErr = fmt.Errorf("%w: index %d, term %d", ErrDiverged, e.Index, e.Term)
				return
			}
			c.log.truncate(e.Index)
		}
		for _, missing := range entries[i:] {
			c.log.append(missing)
		}
		return
	}
}

// rejectHint returns the last index at which the two logs may match: the last
// index of this log, or the entry before the conflicting term.
func (c *Core) rejectHint(m Message) uint64 {
	if m.Index > c.log.last() {
		return c.log.last()
	}
	conflict, _ := c.log.term(m.Index)
	hint := m.Index - 1
	for hint > c.commit && c.log.matches(hint, conflict) {
		hint--
	}
	return hint
}

func (c *Core) handleSnapshot(now clock.Instant, m Message) {
	c.recordLeaderContact(now, m)
	meta := m.Snapshot.Meta
	switch {
	case meta.Index <= c.commit:
	case c.log.matches(meta.Index, meta.Term):
		c.commit = meta.Index
	default:
		c.log.reset(meta)
		c.commit, c.applyRequested = meta.Index, meta.Index
		c.pending.Snapshot = m.Snapshot
	}
	c.send(Message{Type: MsgAppendReply, To: m.From, Index: c.commit, Sent: m.Sent, Round: m.Round})
}
