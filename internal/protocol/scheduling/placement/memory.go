package placement

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

const (
	// memoryMargin is the part of an engine's KV cache that is kept free for requests that
	// other entries have sent and not reported yet: about four of the longest ones at the
	// known engines.
	memoryMargin = 0.1
	// contendedPart is the part of the KV cache from which on an engine's room is shared among
	// entries in any case. It is shared earlier if what waits, and what all entries place
	// within a period of two load intervals, needs more than the room: all of them may
	// choose the same engine, since all of them see the same room.
	contendedPart = 0.25
	// periodPart is the part of the room at a contended engine that all entries together use
	// within a period. What they used in the period before may not be reported yet.
	periodPart = 0.4
	// inflowTime is the time constant of the average of what an entry places: about a period,
	// so that a sudden load counts from the first requests on.
	inflowTime = 250 * time.Millisecond
)

// MemoryUse records what an entry lately placed at engines of one service and phase, in tokens
// of their KV caches. The zero MemoryUse is empty. It is safe for concurrent use.
type MemoryUse struct {
	mu sync.Mutex // guards the fields below
	// period is the newest one in which a request was placed, and placed what was placed in
	// it, by engine.
	period int64
	placed map[string]int
	// inflow is the number of tokens placed per second as a moving average, as it was at a
	// time.
	inflow float64
	at     time.Time
}

// place records a request that was placed in a period.
func (u *MemoryUse) place(now time.Time, period int64, engine string, need int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.period != period || u.placed == nil {
		u.period, u.placed = period, make(map[string]int)
	}
	u.placed[engine] += need
	u.inflow, u.at = u.inflowAt(now)+float64(need)/inflowTime.Seconds(), now
}

// inflowAt returns the moving average at a time. u.mu must be held.
func (u *MemoryUse) inflowAt(now time.Time) float64 {
	return u.inflow * math.Exp(-max(0, now.Sub(u.at).Seconds())/inflowTime.Seconds())
}

// perSecond returns the number of tokens placed per second.
func (u *MemoryUse) perSecond(now time.Time) float64 {
	if u == nil {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.inflowAt(now)
}

// placedAt returns the number of tokens placed at an engine in a period.
func (u *MemoryUse) placedAt(period int64, engine string) int {
	if u == nil {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.period != period {
		return 0
	}
	return u.placed[engine]
}

// Memory states which engines of a service have room in their KV caches.
type Memory struct {
	// Tokens is the size of an engine's KV cache; zero means that there is always room.
	Tokens int
	// Load returns the load of an engine.
	Load func(engine string) fleet.Load
	// Use is what this entry lately placed. Nil stands for nothing.
	Use *MemoryUse
	// Waiting is the number of tokens of requests that wait or are being prefilled, and may
	// be placed at any moment.
	Waiting int
	// Entries is the number of entries that place requests, zero if that isn't known, and Index
	// this entry's place among them, from zero.
	Index, Entries int
	Now            time.Time
}

// Place records that a request, which needs that many tokens, was placed.
func (m Memory) Place(engine string, need int) {
	if m.Use != nil {
		m.Use.place(m.Now, m.period(), engine, need)
	}
}

// periodLength returns the time after which an entry's report has reached all others: it reaches
// the leader within one load interval and the entries within another.
func (m Memory) periodLength() time.Duration { return 2 * fleet.LoadInterval(m.Entries) }

// period returns the number of the current period.
func (m Memory) period() int64 { return m.Now.UnixNano() / int64(m.periodLength()) }

// Bounded reports whether engines may lack room.
func (m Memory) Bounded() bool { return m.Tokens > 0 }

// Margin returns the number of tokens that stay free at an engine alongside any request.
func (m Memory) Margin() int { return int(memoryMargin * float64(m.Tokens)) }

// Limit returns the number of tokens up to which an engine is filled.
func (m Memory) Limit() int { return m.Tokens - m.Margin() }

// Free returns how many tokens more an engine may be given.
func (m Memory) Free(engine string) int { return max(0, m.Limit()-m.Load(engine).KVTokens) }

// Extra returns what must be free alongside a request that needs more than the margin: another
// entry may place one like it before either is reported. An empty engine takes any request
// within the limit.
func (m Memory) Extra(need int) int {
	return max(0, min(need, m.Tokens-need)-m.Margin())
}

// HasRoom returns a filter for engines that have room for a request that needs that many
// tokens at its longest. The room of a contended engine is divided among entries: each gets
// its part of periodPart in each period, rounded to whole requests such that the sum over all
// entries is about right.
func (m Memory) HasRoom(need int) Filter {
	if !m.Bounded() {
		return func(fleet.Engine) bool { return true }
	}
	least, period := need+m.Extra(need), m.period()
	contended := max(contendedPart*float64(m.Tokens), m.Use.perSecond(m.Now)*float64(m.Entries)*m.periodLength().Seconds()+float64(m.Waiting))
	return func(e fleet.Engine) bool {
		free := m.Free(e.ID)
		if least > free {
			return false
		}
		if m.Entries <= 1 || float64(free) >= contended {
			return true
		}
		placed := m.Use.placedAt(period, e.ID)
		part := periodPart * float64(free+placed) / float64(m.Entries)
		return float64(placed)+m.draw(e.ID)*float64(need) < part
	}
}

// goldenRatio spreads consecutive periods over the values of a hash, as in SplitMix64.
const goldenRatio = 0x9e3779b97f4a7c15

// draw returns a number in [0, 1) that differs between periods. Those of all entries are evenly
// spread, so that about as many of them are below a bound in each period.
func (m Memory) draw(engine string) float64 {
	first := float64(mix(xxhash.Sum64String(engine)+uint64(m.period())*goldenRatio)>>11) / (1 << 53)
	_, draw := math.Modf(first + float64(max(0, m.Index))/float64(m.Entries))
	return draw
}

// DecodeMemory returns the number of tokens that the prompt needs at its longest in the KV
// cache of the engine that decodes it.
func (p Prompt) DecodeMemory() int { return max(1, p.Tokens+p.Output) }

// PrefillMemory returns that of an engine that only prefills it.
func (p Prompt) PrefillMemory() int { return max(1, p.Tokens) }
