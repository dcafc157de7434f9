package placement

import (
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/cost"
)

// decodeWork is the work of a request at the engine that decodes.
type decodeWork struct {
	// read is the number of tokens that the engine prefills, and fetched that of those whose
	// KV cache it fetches from zone. Without either, the beginning of the stream doesn't
	// count.
	read, fetched float64
	zone          string
}

// decodeOptions fills in the options of a request at engines that decode, and returns the
// number of their streams.
func (p *CostAware) decodeOptions(o *options, w *Work, speeds *cost.Speeds, d decodeWork, candidates []Candidate) (total float64) {
	var allStreams, allPending tally
	for i := range candidates {
		allStreams.add(float64(candidates[i].Load.Streams))
		allPending.add(float64(candidates[i].Load.PromptTokens))
	}
	trust, trustPending := w.trust(speeds.StreamMs), w.trust(speeds.LocalToken()*LocalPrefillLimit)
	elapsed, objective, gap, weight := ms(w.Elapsed), w.objective(), cost.Within(ms(w.EventGap), pauseError), w.weight()
	local, begins := d.read > 0, d.read+d.fetched > 0
	begin := speeds.FirstAt(cost.First{Local: local, Tokens: d.read + d.fetched})
	crossing := 0.0
	if !local {
		crossing = speeds.FirstAt(cost.First{Tokens: d.fetched, CrossZone: true}).Fixed - begin.Fixed
	}
	step, token := speeds.StepAt(), speeds.LocalToken()
	pacePrice := paceWeight * max(1, w.Output.Mean())
	for i := range candidates {
		c := &candidates[i]
		slow := c.slowness()
		streams, pending := allStreams.present(float64(c.Load.Streams), trust), allPending.present(float64(c.Load.PromptTokens), trustPending)
		wait, waitPerStream := p.slotWait(speeds, c, streams)
		stepMs := slow * step.At(pending, streams+1)
		first := elapsed + wait
		if begins {
			first += slow * begin.At(pending, streams)
		}
		slope := objective.Slope(first)
		// The outputs of all streams, this one's included, end later.
		pace := pacePrice*(stepMs+streams*slow*step.PerStream) + paceWeight*streams*slow*token*d.read
		// All streams pause while the engine prefills.
		before := slow * (step.At(pending, streams) + token*pending)
		after := stepMs + slow*token*(pending+d.read)
		pauses := weight*gap.Late(after) + streams*(gap.Late(after)-gap.Late(before))
		if local {
			// The engine prefills one prompt after the other, with events of its streams in between.
			alone := slow * (step.At(0, streams+1) + token*d.read)
			pauses += pauseMissMs * streams * gap.Missed(alone, pauseMissError)
		}
		// The prompts that are pending there wait for this one, and those to come wait for
		// slots that are held longer: as many as there are streams come while one lasts.
		work := slow * token * d.read
		behind := slope * work * (pending/LocalPrefillLimit + streams*streams*waitPerStream/(slow*speeds.StreamMs))
		item := &o.list[i]
		item.shared = weight*objective.Late(first) + pace + pauses + behind
		item.perRequest = max(minPerRequest, 2*pacePrice*slow*step.PerStream+waitPerStream*weight*slope+streams*slow*token*d.read*gap.Slope(after))
		item.own, item.first, item.excluded = c.failingCost(), first, c.Load.FailingEntries > 0
		if begins && c.Zone != d.zone {
			if local {
				item.own += zoneCallMs
			} else {
				item.first += slow * crossing
				item.own += crossZoneMs + weight*(objective.Late(item.first)-objective.Late(first))
			}
		}
	}
	return allStreams.sum
}

// pickDecode chooses among engines that decode.
func (p *CostAware) pickDecode(w *Work, speeds *cost.Speeds, d decodeWork, candidates []Candidate) (best int, e Estimate) {
	o := newOptions(len(candidates))
	defer o.release()
	streams := p.decodeOptions(o, w, speeds, d, candidates)
	best, e.CostMs, e.NextMs = o.pick(o.level(w.unseen(streams, speeds.StreamMs)), p.Random)
	e.FirstEventMs = o.list[best].first
	return best, e
}

// ForDecode implements [Policy].
func (p *CostAware) ForDecode(w *Work, zone string, local bool, candidates []Candidate) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	d := decodeWork{fetched: float64(w.Prompt.Tokens), zone: zone}
	if local {
		d.read, d.fetched = d.fetched, 0
	}
	best, e := p.pickDecode(w, p.Model.Speeds(w.Service), d, candidates)
	return Choice{Candidate: candidates[best], Estimate: e}, true
}

// idleSlope is the slope of the lateness up to which prefill engines are idle enough for
// prompts of alwaysLocalTokens and more: a first event within half of the objective. Each
// prompt that a decode engine prefills makes all of its streams pause, also those that the
// entry doesn't know of yet.
const idleSlope = 0.25

// PrefillLocally implements [Policy]: it compares the cheapest engine that decodes with the
// cheapest one that only prefills, plus what decoding costs after it. While the latter are idle
// enough, they prefill all but short prompts.
func (p *CostAware) PrefillLocally(w *Work, prefill, decode []Candidate) bool {
	if len(prefill) == 0 || len(decode) == 0 {
		return len(prefill) == 0
	}
	if w.Prompt.Tokens > maxLocalPrefill {
		return false
	}
	plan := p.plan(w, nil, prefill, decode)
	best, remote := p.forPrefill(w, &plan, prefill)
	objective := w.objective()
	queued := float64(w.Waiting) / float64(len(prefill)) * plan.speeds.QueuedToken()
	idle := objective.Slope(remote.FirstEventMs+queued) <= idleSlope && prefill[best].failingCost() == 0
	if w.Prompt.Tokens >= alwaysLocalTokens && idle {
		return false
	}
	_, after := p.pickDecode(w, plan.speeds, decodeWork{}, decode)
	_, local := p.pickDecode(w, plan.speeds, decodeWork{read: float64(w.Prompt.Tokens)}, decode)
	waiting := w.weight() * (objective.Late(remote.FirstEventMs+queued) - objective.Late(remote.FirstEventMs))
	return local.CostMs < remote.CostMs+waiting+after.CostMs
}
