package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/cost"
)

const (
	// paceWeight is the weight of a millisecond by which an output ends later, relative to
	// a millisecond of lateness of a first event or of a pause. Routes have no objective
	// for the end of an output, but streams that last longer hold their slots.
	paceWeight = 0.05
	// firstError and pauseError are the parts of the objective for a first event, and of the
	// longest pause that is in time, by which predictions are off. A time of a first event far
	// below the objective has a small cost, which grows with the time.
	firstError = 1
	pauseError = 0.5
	// pauseMissMs is the cost of a stream that pauses for longer than its limit while a prompt
	// is prefilled: it isn't in time any more, whereas the lateness of a pause just over the limit costs less
	// than that of a prompt behind a short queue. With 300, entries whose loads are 6 s old make more long
	// pauses than fixed scores.
	pauseMissMs = 600
	// pauseMissError is the part of the limit by which the prediction of such a pause is off: pauses were 10%
	// shorter to 6% longer than predicted where engines are unequal.
	pauseMissError = 0.05
	// priorityStep is the part of the weight of a request's own lateness that each rank
	// below the highest priority costs.
	priorityStep = 0.15
	// minWeight is the least weight of a request's own lateness.
	minWeight = 0.4
	// crossZoneMs is the cost of a transfer between zones beyond its time, since it is
	// billed.
	crossZoneMs = 15
	// failingMs is the lateness of a request that a server fails: it begins again elsewhere
	// after about one objective, and the retry counts against the budget.
	failingMs = 600
	// reservedMs is what prefilling costs at the software version whose decode engines have
	// only reserved slots left.
	reservedMs = 600
	// copyWork is the work, as a multiple of prefilling a shared prefix, that a further
	// copy of it causes, because it evicts other prefixes.
	copyWork = 2
	// zoneCallMs is the time that a call to another zone takes longer.
	zoneCallMs = 1
	// callCrowding is the part of a call's work time by which a server slows it down while
	// all of its slots are in use.
	callCrowding = 0.3
	// defaultObjective applies to routes without one.
	defaultObjective = 500
	// priorCallMs is the work time of a call of an unknown route.
	priorCallMs = 20
	// minPerRequest bounds the cost of one more request from below, in milliseconds.
	minPerRequest = 0.05
	// defaultStreams is the mean number of streams at an engine whose slots are unknown.
	defaultStreams = 16
	// queueMemory is for how many stays of a prompt a longer queue of a prefill engine lasts: the
	// prompts that come in the meantime stay behind it. In the simulation of 85 entries whose loads are
	// 6 s old, 0.807, 0.826 and 0.810 of the requests are in time with 1, 2 and 4.
	queueMemory = 2
	// maxVersions is the number of software versions that decisions distinguish.
	maxVersions = 4
)

// CostAware is a [Policy] that chooses the servers at which the weighted sum of the lateness
// that the request adds to itself and to those alongside it is least.
type CostAware struct {
	Model *cost.Model
	// Random returns a random integer in [0, n).
	Random func(n int) int
}

// slowness returns how much slower than the mean the server is.
func (c *Candidate) slowness() float64 {
	if c.Slowness <= 0 {
		return 1
	}
	return c.Slowness
}

// failingCost returns the cost of the engine's failures in milliseconds.
func (c *Candidate) failingCost() float64 {
	if c.FailureRate == 0 && c.Load.FailingEntries == 0 {
		return 0
	}
	return failingMs * c.failureCost()
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (w *Work) objective() cost.Objective {
	if w.Objective <= 0 {
		return cost.Within(defaultObjective, firstError)
	}
	return cost.Within(ms(w.Objective), firstError)
}

// weight returns the weight of the request's own lateness; that of its neighbours is 1.
func (w *Work) weight() float64 {
	return max(minWeight, 1-priorityStep*float64(w.Priority))
}

// unseen returns how many requests other entries have probably placed since the load was
// reported, given how many are in progress and how long each of them is.
func (w *Work) unseen(inProgress, eachMs float64) float64 {
	return inProgress * ms(w.Staleness) / max(1, eachMs)
}

// trust returns the part of the differences between servers' loads that is still there,
// given how long each request is: what was in progress ends, and what came in the meantime is not
// known.
func (w *Work) trust(eachMs float64) float64 {
	return math.Exp(-ms(w.Staleness) / max(1, eachMs))
}

// tally sums up a kind of load over the servers.
type tally struct{ n, sum, squares float64 }

func (t *tally) add(x float64) { t.n, t.sum, t.squares = t.n+1, t.sum+x, t.squares+x*x }

func (t *tally) mean() float64 { return t.sum / max(1, t.n) }

func (t *tally) variance() float64 {
	mean := t.mean()
	return max(0, t.squares/max(1, t.n)-mean*mean)
}

// present returns the expected load of a server now, from the reported one.
func (t *tally) present(reported, trust float64) float64 {
	mean := t.mean()
	return mean + trust*(reported-mean)
}

// prefillPlan is what the choice of a prefill engine depends on.
type prefillPlan struct {
	speeds *cost.Speeds
	// after is the time from the end of prefill to the first event.
	after float64
	// workPrice is the lateness that a millisecond of work adds to other prompts, on
	// average over the engines.
	workPrice float64
	pending   tally
	// sojournMs is how long a prompt stays at an engine.
	sojournMs float64
	shared    int
	// homes holds the engine that should prefill the shared prefix, by software version. The
	// last one is for all versions beyond maxVersions, and has no holder: a KV cache is of use
	// at engines of its version only.
	homes [maxVersions + 1]home
	count int
}

// home is where a shared prefix should be prefilled at one software version.
type home struct {
	version string
	// engine is its ID, holder the engine that holds the prefix, or nil.
	engine string
	holder *fleet.Engine
	// copies is 1 if another version has the prefix and this one would be a copy.
	copies float64
	// waiting is the cost of the best engine of the version that decodes.
	waiting float64
	weight  uint64
}

func (p *prefillPlan) of(version string) *home {
	for i := range p.homes[:min(p.count, maxVersions)] {
		if p.homes[i].version == version {
			return &p.homes[i]
		}
	}
	if p.count < len(p.homes) {
		p.homes[p.count] = home{version: version, waiting: math.Inf(1)}
		p.count++
	}
	return &p.homes[p.count-1]
}

// distinguishes reports whether a home is of one version only.
func (p *prefillPlan) distinguishes(h *home) bool { return h != &p.homes[maxVersions] }

// mix scrambles the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func (p *CostAware) plan(w *Work, holders []fleet.Engine, prefill, decode []Candidate) (plan prefillPlan) {
	plan.speeds = p.Model.Speeds(w.Service)
	key, shared := w.Prompt.Shared()
	plan.shared = shared
	keyHash := xxhash.Sum64String(key)
	for i := range prefill {
		c := &prefill[i]
		plan.pending.add(float64(c.Load.PromptTokens))
		if h := plan.of(c.Version); key != "" {
			if weight := mix(keyHash ^ xxhash.Sum64String(c.ID)); h.engine == "" || weight > h.weight {
				h.engine, h.weight = c.ID, weight
			}
		}
	}
	for i := range plan.homes[:plan.count] {
		plan.homes[i].copies = min(1, float64(len(holders)))
	}
	for i := range holders {
		h := plan.of(holders[i].Version)
		if !plan.distinguishes(h) {
			continue
		}
		h.holder, h.copies = &holders[i], 0
		for j := range prefill {
			if prefill[j].ID == holders[i].ID {
				h.engine = holders[i].ID
			}
		}
	}
	streams := p.addWaiting(&plan, w, decode)
	mean, speeds := plan.pending.mean(), plan.speeds
	plan.after = speeds.First(cost.First{Tokens: float64(w.Prompt.Tokens), Streams: streams})
	plan.sojournMs = speeds.Prefill(cost.Prefill{Read: speeds.PromptTokens, Pending: mean})
	expected := plan.sojournMs + plan.after
	behind := 1 + mean/max(1, speeds.PromptTokens)
	plan.workPrice = behind * w.objective().Slope(expected)
	return plan
}

// addWaiting adds the cost of the engines that decode to the plan and returns the mean
// number of their streams. Engines that are nearly full cost more: the streams of a version
// whose other engines have ended have no other place.
func (p *CostAware) addWaiting(plan *prefillPlan, w *Work, decode []Candidate) (streams float64) {
	if len(decode) == 0 {
		for i := range plan.homes[:plan.count] {
			plan.homes[i].waiting = 0
		}
		return defaultStreams
	}
	for i := range decode {
		c := &decode[i]
		streams += float64(c.Load.Streams)
		h := plan.of(c.Version)
		wait, _ := p.slotWait(plan.speeds, c, float64(c.Load.Streams))
		waiting := wait + c.failingCost()
		if c.Slots > 0 && float64(c.Load.Streams) >= (1-reservedSlots)*float64(c.Slots) {
			waiting += reservedMs
		}
		h.waiting = min(h.waiting, waiting)
	}
	for i := range plan.homes[:plan.count] {
		if h := &plan.homes[i]; math.IsInf(h.waiting, 1) {
			h.waiting = 0
		}
	}
	return streams / float64(len(decode))
}

// slotWait returns the expected wait for a slot in milliseconds, and by how much one more
// stream lengthens it. The number of streams is off by about the square root of the slots.
func (p *CostAware) slotWait(speeds *cost.Speeds, c *Candidate, streams float64) (wait, perStream float64) {
	if c.Slots <= 0 {
		return 0, 0
	}
	slots := float64(c.Slots)
	width := math.Sqrt(slots)
	excess := streams + 1 - slots + width
	if excess <= 0 {
		return 0, 0
	}
	each := c.slowness() * speeds.StreamMs / slots
	return each * cost.Excess(excess, width, width), each * min(1, excess/(2*width))
}

// forPrefill chooses the engine that prefills.
func (p *CostAware) forPrefill(w *Work, plan *prefillPlan, prefill []Candidate) (best int, e Estimate) {
	speeds, elapsed, objective, weight := plan.speeds, ms(w.Elapsed), w.objective(), w.weight()
	fetchable := plan.shared >= minFetchTokens
	whole := float64(w.Prompt.Tokens)
	rest := max(0, whole-float64(plan.shared))
	wholeMs, restMs := speeds.Prefill(cost.Prefill{Read: whole}), speeds.Prefill(cost.Prefill{Read: rest})
	fetchMs := speeds.FetchToken() * float64(plan.shared)
	queued, meanPrompt := speeds.QueuedToken(), max(1, speeds.PromptTokens)
	copyMs := copyWork * float64(plan.shared) * speeds.ReadToken() * plan.workPrice
	o := newOptions(len(prefill))
	defer o.release()
	trust := w.trust(queueMemory * plan.sojournMs)
	// The wait varies about its expectation, and lateness grows faster than the wait.
	variance := queued * queued * plan.pending.variance() * (1 - trust*trust)
	uncertain := weight * objective.Late(math.Sqrt(variance))
	for i := range prefill {
		c := &prefill[i]
		h := plan.of(c.Version)
		pending, slow := plan.pending.present(float64(c.Load.PromptTokens), trust), c.slowness()
		read, took, fetch, copies := whole, wholeMs, 0.0, h.copies
		switch {
		case h.holder == nil:
		case c.ID == h.holder.ID:
			read, took = rest, restMs
		case fetchable:
			read, took, fetch = rest, restMs, slow*fetchMs
			if c.Zone != h.holder.Zone {
				fetch *= cost.CrossZoneFactor
			}
		}
		if c.ID != h.engine {
			copies++
		}
		took = slow * (took + queued*pending)
		first := elapsed + took + plan.after
		behind, slope := pending/meanPrompt, objective.Slope(first)
		item := &o.list[i]
		item.shared = weight*objective.Late(first) + uncertain + behind*slope*slow*speeds.ReadToken()*read
		item.perRequest = max(minPerRequest, slope*(1+behind)*slow*queued*meanPrompt)
		item.first = first + fetch
		item.own = weight*(objective.Late(item.first)-objective.Late(first)) + h.waiting + c.failingCost()
		if fetchable && h.engine != "" {
			item.own += copies * copyMs
		}
		item.excluded = c.Load.FailingEntries > 0
	}
	level := o.level(w.unseen(plan.pending.sum/meanPrompt, plan.sojournMs))
	best, e.CostMs, e.NextMs = o.pick(level, p.Random)
	e.FirstEventMs = o.list[best].first
	return best, e
}

// ForPrefill implements [Policy].
func (p *CostAware) ForPrefill(w *Work, holders []fleet.Engine, prefill, decode []Candidate) (choice PrefillChoice, ok bool) {
	if len(prefill) == 0 {
		return PrefillChoice{}, false
	}
	plan := p.plan(w, holders, prefill, decode)
	best, e := p.forPrefill(w, &plan, prefill)
	choice = PrefillChoice{Candidate: prefill[best], Tokens: w.Prompt.Tokens, Estimate: e}
	holder := plan.of(choice.Version).holder
	switch {
	case holder == nil:
	case choice.ID == holder.ID:
		choice.Tokens = max(0, w.Prompt.Tokens-plan.shared)
	case plan.shared >= minFetchTokens:
		choice.Tokens = max(0, w.Prompt.Tokens-plan.shared)
		choice.FetchFrom = holder
	}
	return choice, true
}

// SparesPrefill implements [Policy].
func (p *CostAware) SparesPrefill(w *Work, prefill, decode []Candidate) bool {
	return p.PrefillLocally(w, prefill, decode)
}

// ForCall implements [Policy].
func (p *CostAware) ForCall(w *Work, zone string, candidates []Candidate) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	work := p.Model.Work(w.Service, w.Route, priorCallMs)
	elapsed, objective := ms(w.Elapsed), w.objective()
	o := newOptions(len(candidates))
	defer o.release()
	weight, calls := w.weight(), 0.0
	for i := range candidates {
		c := &candidates[i]
		slow, slots, held := c.slowness(), float64(max(1, c.Slots)), float64(c.Load.Calls)
		calls += held
		width := math.Sqrt(slots)
		fill := (cost.Excess(held+1, slots, width) + callCrowding*held) / slots
		first := elapsed + slow*work*(1+fill)
		perCall := slow * work * (min(1, max(0, (held+1-slots+width)/(2*width))) + callCrowding) / slots
		slope := objective.Slope(first)
		item := &o.list[i]
		item.shared = weight*objective.Late(first) + held*slope*perCall
		item.perRequest = max(minPerRequest, slope*perCall*(1+held))
		item.own, item.first, item.excluded = c.failingCost(), first, c.Load.FailingEntries > 0
		if c.Zone != zone {
			item.own += zoneCallMs
		}
	}
	best, e := 0, Estimate{}
	best, e.CostMs, e.NextMs = o.pick(o.level(w.unseen(calls, work)), p.Random)
	e.FirstEventMs = o.list[best].first
	return Choice{Candidate: candidates[best], Estimate: e}, true
}
