package experiment

import (
	"math/rand/v2"

	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/admission"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/roleplan"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
)

// Policy combines the strategies for routing, admission and roles of one
// simulated system.
type Policy struct {
	Name string
	// newPicker returns the picker of one entry.
	newPicker func(seed uint64) routing.Picker
	// admissionControl enables refusals by worth under overload.
	admissionControl bool
	// newRolePolicy returns the role policy, or nil if roles are fixed.
	newRolePolicy func(d *Deployment) rolePolicy
	// sharedView replaces the entries by a single one, so that all decisions are
	// based on one view of the load.
	sharedView bool
}

// rolePolicy changes the roles of engines in a simulation.
type rolePolicy interface {
	// interval is the time between calls of plan, in seconds.
	interval() float64
	// plan starts the role changes that are needed.
	plan(s *simulation)
}

func predictive(seed uint64) routing.Picker {
	return routing.NewPredictive(seed)
}

// Lagoonshift is the policy of the entries and control processes.
var Lagoonshift = Policy{Name: "lagoonshift", newPicker: predictive, admissionControl: true, newRolePolicy: newGoodputRoles}

// Policies returns Lagoonshift and the baseline policies.
func Policies() []Policy {
	noRoles := func(*Deployment) rolePolicy { return nil }
	return []Policy{
		Lagoonshift,
		{Name: "static-roles", newPicker: predictive, admissionControl: true, newRolePolicy: noRoles},
		{Name: "reactive-roles", newPicker: predictive, admissionControl: true, newRolePolicy: newReactive},
		{Name: "round-robin", newPicker: func(uint64) routing.Picker { return &roundRobin{} }, newRolePolicy: noRoles},
		{Name: "least-reported", newPicker: func(uint64) routing.Picker { return leastReported{} }, newRolePolicy: noRoles},
		{Name: "two-choices", newPicker: func(seed uint64) routing.Picker {
			return &twoChoices{random: rand.New(rand.NewPCG(seed, 2))}
		}, newRolePolicy: noRoles},
		{Name: "two-choices-reactive", newPicker: func(seed uint64) routing.Picker {
			return &twoChoices{random: rand.New(rand.NewPCG(seed, 2))}
		}, newRolePolicy: newReactive},
	}
}

// Variants returns modifications of Lagoonshift, to measure the effect of each.
func Variants() []Policy {
	shared, without, first := Lagoonshift, Lagoonshift, Lagoonshift
	shared.Name, shared.sharedView = "one-view", true
	without.Name = "no-affinity"
	without.newPicker = func(seed uint64) routing.Picker { return &withoutPrefix{inner: routing.NewPredictive(seed)} }
	first.Name = "affinity-first"
	first.newPicker = func(seed uint64) routing.Picker {
		p := routing.NewPredictive(seed)
		p.Scorers = append(p.Scorers, cachedFirst{})
		return p
	}
	return []Policy{shared, without, first}
}

// withoutPrefix removes the prefix hashes from requests before it passes them to
// a picker, which disables cache affinity.
type withoutPrefix struct {
	inner routing.Picker
}

// Pick implements routing.Picker.
func (p *withoutPrefix) Pick(s *routing.Snapshot, r *routing.Request) (routing.Choice, error) {
	hidden := *r
	hidden.PrefixHashes = nil
	return p.inner.Pick(s, &hidden)
}

// cachedFirst scores the engine that has cached most of the prompt best,
// whatever its load.
type cachedFirst struct{}

// missPenaltySeconds is the score of a prompt that is not cached at all. It
// exceeds the score of any load.
const missPenaltySeconds = 1000

// Score implements routing.Scorer.
func (cachedFirst) Score(p *routing.Prediction, r *routing.Request) float64 {
	return missPenaltySeconds * (1 - p.CachedTokens/float64(r.PromptTokens))
}

func newReactive(*Deployment) rolePolicy { return &reactive{last: -reactiveCooldown} }

// goodputRoles runs the planner of package roleplan.
type goodputRoles struct {
	planner roleplan.Planner
}

func newGoodputRoles(*Deployment) rolePolicy {
	return &goodputRoles{planner: roleplan.NewGoodput(roleplan.DefaultGoodput())}
}

// goodputInterval is the planning interval, in seconds.
const goodputInterval = 1

// interval implements rolePolicy.
func (g *goodputRoles) interval() float64 { return goodputInterval }

// plan implements rolePolicy.
func (g *goodputRoles) plan(s *simulation) {
	now := s.clock.Now()
	demand := s.collector.Demand(now, modelName)
	moves := g.planner.Plan(now, s.model, demand, s.planEngines())
	for _, m := range moves {
		s.changeRole(s.indexOf[m.Engine], m.Role)
	}
}

// installPicker sets the picker and the admission controller of an entry. Every
// policy has a controller because it measures demand; requests go through it only
// with admissionControl.
func (p *Policy) installPicker(e *entry, entries int, seed uint64) {
	inner := p.newPicker(seed)
	e.controller = admission.New(admission.Options{Picker: inner, Clock: e.clock, Tracker: e.tracker, Entries: func() int { return entries }})
	e.picker = inner
	if p.admissionControl {
		e.picker = e.controller
	}
}
