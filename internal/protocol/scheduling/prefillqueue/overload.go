package prefillqueue

import (
	"cmp"
	"errors"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/fairshare"
)

// The decisions below are built for a demand above the engines' capacity, for prefill or
// for streams, that lasts longer than callers wait. What would have its first event too
// late is refused while its caller can still come back, and the rest is shared among
// routes, so that none is left out.

const (
	// The queue is saturated once capacity has been short for saturatedAfter: prompts wait
	// for slots, or the prefill engines need saturatedFrom for the backlog of all entries. It
	// stays so until that has fallen to saturatedTo.
	saturatedAfter = 250 * time.Millisecond
	saturatedFrom  = 800 * time.Millisecond
	saturatedTo    = 250 * time.Millisecond
	// capacityMargin is the multiple of the measured capacity up to which prompts are
	// not refused.
	capacityMargin = 1.25
	// queuedFraction is the fraction of the time that a prompt can wait and still be in time for
	// which prompts are taken into a saturated queue.
	queuedFraction = 0.5
	// equalFraction is the fraction of an equal share of the capacity that each kind of prompts may
	// always have.
	equalFraction = 0.5
	// maxRetryAfter bounds the time after which a refused caller is to come back.
	maxRetryAfter = 2 * time.Second
	// firstServedFrom is the part of the first requests of a kind that must be granted for
	// late ones to be taken whose callers come back after a refusal.
	firstServedFrom = 0.9
	// farOver is the multiple of its target from which on a workspace's prompts are refused
	// before those of others.
	farOver = 1.25
	// starvedBelow is the part of its target below which a workspace goes before more urgent
	// ones. A target is at least three quarters of a proportional share, so each workspace gets
	// 0.3 of that, where a quarter is the least that is allowed.
	starvedBelow = 0.4
)

// ErrNoRoom is matched by the error of Acquire for a prompt that the engines would
// begin too late for its caller.
var ErrNoRoom = errors.New("no room for the prompt before its caller leaves")

// NoRoomError is the error of Acquire for a prompt that is refused. It matches ErrNoRoom.
type NoRoomError struct {
	// RetryAfter is how long it takes, as far as is known, until there is room.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoRoomError) Error() string { return ErrNoRoom.Error() }

// Is reports whether target is ErrNoRoom.
func (e *NoRoomError) Is(target error) bool { return target == ErrNoRoom }

// situation is what the decisions of one moment depend on.
type situation struct {
	now time.Time
	// firstEvent is when a prompt sent now would have its first event, without the
	// prefill time of the prompt itself.
	firstEvent time.Time
	// backlog, in seconds, is the work of the engine that has least of it, and tokensOf
	// holds this entry's tokens pending at engines by priority.
	backlog  float64
	tokensOf map[int]int
	// latency, in seconds, and rate, in tokens per second, are those of one engine.
	latency, rate float64
	// limit is this entry's share of the backlog at the engines, in tokens, and capacity
	// its share of their rate, in tokens per second.
	limit, capacity float64
	// slotsShort is set if the engines that decode have few free slots, and slots is this
	// entry's share of all slots.
	slotsShort bool
	slots      float64
	// prefillFull is set if this entry's share of the backlog is used up.
	prefillFull bool
	// saturatedFor is the time since capacity became short, zero unless the queue is
	// saturated. The fields after it are set only if it is.
	saturatedFor time.Duration
	// kinds holds the state of each kind of prompts; active of them have demand.
	kinds  map[kind]*kindState
	active int
	// arrived and granted are the flows of all kinds.
	arrived, granted flow
	// shares are the targets of workspaces, or nil if there are no workspaces.
	shares *fairshare.Shares
}

// kindState is what a saturated queue knows of a kind of prompts.
type kindState struct {
	arrived, granted flow
	// first is the part of the first requests that was granted.
	first float64
	// streams and tokens are the fractions that it uses of this entry's share of the slots and
	// of the prefill capacity.
	streams, tokens float64
	// used is the one of these that is of what is short.
	used float64
	// served orders the kinds: the part of its prompts that are granted times what one of
	// them takes of the capacity, less for a kind that has no equal part of it.
	served float64
	// ahead is what waits before the prompt that is being looked at.
	ahead flow
}

func (s *situation) saturated() bool { return s.saturatedFor > 0 }

// saturate adds what only the decisions about a saturated queue need. streams returns how
// many streams of a kind are in progress.
func (s *situation) saturate(since time.Time, f flows, streams func(kind) int) {
	s.saturatedFor = s.now.Sub(since)
	s.kinds = make(map[kind]*kindState, len(f))
	for k, r := range f {
		state := &kindState{arrived: r.arrived.perSecond(s.now), granted: r.granted.perSecond(s.now)}
		state.first = r.firstServed(s.now)
		state.tokens = state.granted.tokens / max(1, s.capacity)
		if s.slots > 0 {
			state.streams = float64(streams(k)) / s.slots
		}
		if state.arrived.prompts >= activeFrom {
			s.active++
		}
		s.kinds[k] = state
		s.arrived, s.granted = s.arrived.plus(state.arrived), s.granted.plus(state.granted)
	}
	all := 0.0
	for _, r := range s.kinds {
		if r.used = r.tokens; s.slotsShort {
			r.used = r.streams
		}
		all += r.used
	}
	for _, r := range s.kinds {
		// What one of its prompts takes of the capacity, relative to all prompts.
		cost := r.used * s.granted.prompts / max(all*r.granted.prompts, 1e-9)
		r.served = cost * min(1, r.used*float64(s.active)) * min(1, r.granted.prompts/max(r.arrived.prompts, 1e-9))
	}
}

// of returns the state of a prompt's kind.
func (s *situation) of(w *waiter) *kindState {
	r := s.kinds[w.kind()]
	if r == nil {
		r = &kindState{first: 1}
		s.kinds[w.kind()] = r
	}
	return r
}

// fewStreams reports whether a prompt's kind has less than an equal part of the slots.
func (s *situation) fewStreams(w *waiter) bool {
	return s.saturated() && s.of(w).streams*float64(s.active) < equalFraction
}

// compare returns a negative number if a goes before b, a positive one if it
// goes after, and zero if they are equal. Short prompts go before long ones, and
// prompts that can be in time before late ones. Among long prompts in time the newest
// goes first: with the oldest first, each would be sent at the last moment and any delay
// would make it late.
//
// In a saturated queue the kind that is served least goes first, and then the most urgent
// prompt, after those of workspaces that would starve. Among these, the workspace that was
// granted least of its target is first, then the oldest prompt, since no more are taken into
// the queue than can be in time.
func (s *situation) compare(a, b *waiter) int {
	rankA, rankB := s.rankOf(a), s.rankOf(b)
	if rankA != rankB {
		return cmp.Compare(rankA, rankB)
	}
	if s.saturated() {
		if byKind := cmp.Compare(s.of(a).served, s.of(b).served); byKind != 0 {
			return byKind
		}
		if s.starves(a) != s.starves(b) {
			return orderFirst(s.starves(a))
		}
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.over, b.over), a.Arrived.Compare(b.Arrived))
	}
	if rankA == rankInTime {
		return cmp.Or(cmp.Compare(a.Objective, b.Objective), b.Arrived.Compare(a.Arrived))
	}
	return cmp.Or(cmp.Compare(a.Objective, b.Objective), a.Arrived.Compare(b.Arrived))
}

// orderFirst returns the result of a comparison in which the first one goes first, or else last.
func orderFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// starves reports whether a prompt's workspace will have been granted far less than its target
// even with this prompt.
func (s *situation) starves(w *waiter) bool { return s.shares != nil && w.over < starvedBelow }

// weighWorkspaces sets what each waiting prompt's workspace will have been granted. Prompts
// of one workspace are weighed in their present order, so that a workspace with many
// prompts doesn't get all grants of one moment.
func (s *situation) weighWorkspaces(waiting []*waiter) {
	if s.shares == nil {
		return
	}
	ahead := make(map[string]float64)
	for _, w := range waiting {
		ahead[w.Workspace] += w.cost()
		w.over = s.shares.Ratio(w.Workspace, ahead[w.Workspace])
	}
}

// rank is the first sort criterion; lower ranks go first.
type rank int

const (
	rankResumed rank = iota
	rankShort
	rankInTime
	rankLate
)

func (s *situation) rankOf(w *waiter) rank {
	inTime := s.inTime(w)
	switch {
	case w.Resumed:
		return rankResumed
	case w.Tokens <= shortPromptTokens && !s.saturated():
		return rankShort
	case inTime:
		return rankInTime
	}
	return rankLate
}

// inTime reports whether a prompt sent now would have its first event within its
// objective.
func (s *situation) inTime(w *waiter) bool { return s.inTimeLeft(w) > 0 }

// inTimeLeft returns how long a prompt can wait and have its first event within its
// objective. In a saturated queue those whose callers have come back don't displace
// prompts that can still be in time. Short prompts overtake less urgent ones at the engines.
func (s *situation) inTimeLeft(w *waiter) time.Duration {
	first := s.firstEvent
	if w.Tokens <= shortPromptTokens {
		ahead := 0.0
		if !s.slotsShort { // else the slots decide what is sent, and the backlog is worked off
			ahead = s.backlog * s.partBefore(w.Priority)
		}
		first = s.now.Add(secondsToDuration(s.latency+ahead) + postPrefillTime)
	}
	since := w.Arrived
	if s.saturated() && !w.Asked.IsZero() {
		since = w.Asked
	}
	return since.Add(w.Objective).Sub(first)
}

// partBefore returns the part of the pending tokens that engines prefill before those of a new
// short prompt: they serve more urgent ones first, and those of its priority by turns.
func (s *situation) partBefore(priority int) float64 {
	before, all := 0, 0
	for p, tokens := range s.tokensOf {
		if all += tokens; p <= priority {
			before += tokens
		}
	}
	return float64(before) / float64(max(1, all))
}

// expired reports whether a prompt would have its first event too late for its caller
// even if an engine began it now.
func (s *situation) expired(w *waiter) bool {
	return !w.Resumed && !w.GiveUp.IsZero() && s.timeLeft(w) <= 0
}

// timeLeft returns how long a prompt can wait for an engine.
func (s *situation) timeLeft(w *waiter) time.Duration {
	prefill := secondsToDuration(s.latency + float64(w.Tokens)/(s.rate*capacityMargin))
	return w.GiveUp.Sub(s.now) - prefill - postPrefillTime
}

// refuses reports whether a prompt that waits in a saturated queue is to be refused: a new
// one if too many of its kind wait for it to be in time, and others if they would have
// their first event too late for their callers.
func (s *situation) refuses(w *waiter) bool {
	r := s.of(w)
	if w.Resumed || w.GiveUp.IsZero() || r.ahead.prompts == 0 {
		return false
	}
	left, overtaking := s.timeLeft(w).Seconds(), flow{}
	if !w.waited {
		left = min(left, queuedFraction*(s.inTimeLeft(w).Seconds()-float64(w.prefillTokens())/s.rate))
	} else if s.rankOf(w) == rankLate {
		overtaking = r.arrived
	}
	if ratio := s.shares.Ratio(w.Workspace, 0); ratio > farOver {
		left /= ratio
	}
	pace := s.pace(r)
	// The first one goes with the next grant.
	if s.slotsShort && r.ahead.prompts-1 > (pace.prompts-overtaking.prompts)*left {
		return true
	}
	return s.prefillFull && !w.Local && r.ahead.tokens > (pace.tokens-overtaking.tokens)*left
}

// yields reports whether a prompt whose caller has come back, too late for its objective, is
// to be refused, since first requests of its kind are refused. A workspace that was
// granted less than its target doesn't yield to the others.
func (s *situation) yields(w *waiter) bool {
	return s.saturated() && w.returning() && !w.Resumed && !s.inTime(w) && s.of(w).first < firstServedFrom &&
		(s.shares == nil || s.shares.Ratio(w.Workspace, 0) >= 1)
}

// pace returns the flow at which a kind's prompts can be granted: a little more than was
// granted lately, and no less than as large a part of its demand as of that of all routes.
func (s *situation) pace(r *kindState) flow {
	part := s.granted.prompts / max(s.arrived.prompts, 1e-9)
	return flow{
		prompts: max(capacityMargin*r.granted.prompts, part*r.arrived.prompts),
		tokens:  max(capacityMargin*r.granted.tokens, part*r.arrived.tokens),
	}
}

// noRoom returns the error for a prompt that is refused. The time until there is room
// is that to work off what waits of its kind, and what would join it if the overload
// lasted as long again, and at least the time after which its workspace has no more than
// its target.
func (s *situation) noRoom(w *waiter) error {
	after := 0.0
	if s.saturated() {
		r := s.of(w)
		excess := max(0, r.arrived.prompts/max(1, r.granted.prompts)-1)
		after = r.ahead.prompts/max(1, r.granted.prompts) + excess*s.saturatedFor.Seconds()
		after = max(after, s.shares.Wait(w.Workspace).Seconds())
	}
	return &NoRoomError{RetryAfter: secondsToDuration(min(maxRetryAfter.Seconds(), after))}
}
