package roleplan

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

const start = clock.Instant(time.Hour)

func newFleet(roles ...settings.Role) ([]Engine, settings.Model) {
	model := settings.Model{Engines: make(map[string]settings.Engine), MinPrefill: 1, MinDecode: 1}
	var engines []Engine
	for i, role := range roles {
		name := fmt.Sprintf("engine-%02d", i)
		engines = append(engines, Engine{Name: name, Role: role, Available: true})
		model.Engines[name] = settings.Engine{Authority: settings.AuthorityLagoonshift}
	}
	return engines, model
}

func repeatRole(role settings.Role, n int) []settings.Role {
	out := make([]settings.Role, n)
	for i := range out {
		out[i] = role
	}
	return out
}

func newDemand(classes ...ClassDemand) Demand {
	d := Demand{Classes: classes}
	for _, c := range classes {
		d.Requests += c.Requests
		d.PromptTokens += c.Requests * c.PromptTokens
		d.OutputTokens += c.Requests * c.OutputTokens
		d.Worth += c.Requests * c.Worth
	}
	return d
}

var (
	prompts = ClassDemand{Class: "prompts", Requests: 200, PromptTokens: 2000, OutputTokens: 2, Worth: 4}
	drafts  = ClassDemand{Class: "drafts", Requests: 20, PromptTokens: 500, OutputTokens: 500, Worth: 4}
)

func TestPlanChangesEngineToLoadedRole(t *testing.T) {
	engines, model := newFleet(repeatRole(settings.RoleDecode, 8)...)
	changes := NewGoodput(DefaultGoodput()).Plan(start, model, newDemand(prompts), engines)
	if len(changes) != 1 || changes[0].Role != settings.RolePrefill {
		t.Fatalf("role changes %+v, want one to the prefill role", changes)
	}
}

func TestHighRolePricePreventsRoleChanges(t *testing.T) {
	engines, model := newFleet(repeatRole(settings.RoleDecode, 8)...)
	model.RolePrice = 1e6
	if changes := NewGoodput(DefaultGoodput()).Plan(start, model, newDemand(prompts), engines); changes != nil {
		t.Fatalf("role changes %+v, want none at this price", changes)
	}
}

func TestEnginesOfOldSystemAreNotChanged(t *testing.T) {
	engines, model := newFleet(repeatRole(settings.RoleDecode, 3)...)
	for name, e := range model.Engines {
		e.Authority = settings.AuthorityOldSystem
		model.Engines[name] = e
	}
	if changes := NewGoodput(DefaultGoodput()).Plan(start, model, newDemand(prompts), engines); changes != nil {
		t.Fatalf("role changes %+v, want none under the authority of the old system", changes)
	}
}

// TestPlanInvariants draws fleets and demands and checks what must hold of
// every plan: at most one role change, none while another runs, none within the
// dwell time, never below the minimum, none when all demand is served.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "engines")
		roles := rapid.SliceOfN(rapid.SampledFrom(speed.Roles[:]), n, n).Draw(t, "roles")
		engines, model := newFleet(roles...)
		model.RolePrice = rapid.Float64Range(0, 500).Draw(t, "price")
		now := start
		for step := range 20 {
			demand := drawDemand(t, step)
			for i := range engines {
				engines[i].Available = engines[i].Available != (rapid.IntRange(0, 9).Draw(t, "flip") == 0)
			}
			changes := NewGoodput(DefaultGoodput()).Plan(now, model, demand, engines)
			checkRoleChanges(t, now, model, engines, changes)
			applyRoleChanges(engines, changes)
			now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "pause")) * time.Second)
			if rapid.Bool().Draw(t, "settled") {
				completeChanges(now, engines)
			}
		}
	})
}

func drawDemand(t *rapid.T, step int) Demand {
	p, d := prompts, drafts
	p.Requests = rapid.Float64Range(0, 300).Draw(t, fmt.Sprintf("prompts %d", step))
	d.Requests = rapid.Float64Range(0, 60).Draw(t, fmt.Sprintf("drafts %d", step))
	return newDemand(p, d)
}

func checkRoleChanges(t *rapid.T, now clock.Instant, model settings.Model, engines []Engine, changes []RoleChange) {
	if len(changes) > 1 {
		t.Fatalf("%d role changes, want at most 1", len(changes))
	}
	left := make(map[settings.Role]int)
	for _, e := range engines {
		if e.Available {
			left[e.Role]++
		}
		if e.Changing && len(changes) > 0 {
			t.Fatalf("got a role change while %s is changing, want none", e.Name)
		}
	}
	for _, m := range changes {
		for _, e := range engines {
			if e.Name != m.Engine {
				continue
			}
			left[e.Role]--
			if !e.Available || e.Since > 0 && now.Sub(e.Since) < DefaultGoodput().MinDwell {
				t.Fatalf("changed %+v at %d, want only available engines past MinDwell", e, now)
			}
			if e.Role == settings.RolePrefill && left[e.Role] < model.MinPrefill || e.Role == settings.RoleDecode && left[e.Role] < model.MinDecode {
				t.Fatalf("engines left by role %v after %+v, want at least the minimum", left, m)
			}
		}
	}
}

func applyRoleChanges(engines []Engine, changes []RoleChange) {
	for _, m := range changes {
		for i := range engines {
			if engines[i].Name == m.Engine {
				engines[i].Changing, engines[i].Available = true, false
				engines[i].Role = m.Role
			}
		}
	}
}

func completeChanges(now clock.Instant, engines []Engine) {
	for i := range engines {
		if engines[i].Changing {
			engines[i].Changing, engines[i].Available = false, true
			engines[i].Since = now
		}
	}
}

// TestNoRoleChangeWhenAllDemandIsServed checks that the planner changes no role while
// all demand is served, for any mix of classes and even if a change costs
// nothing.
func TestNoRoleChangeWhenAllDemandIsServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines, model := newFleet(append(repeatRole(settings.RolePrefill, 6), repeatRole(settings.RoleDecode, 6)...)...)
		p, d := prompts, drafts
		p.Requests = rapid.Float64Range(0, 10).Draw(t, "prompts")
		d.Requests = rapid.Float64Range(0, 2).Draw(t, "drafts")
		if changes := NewGoodput(DefaultGoodput()).Plan(start, model, newDemand(p, d), engines); changes != nil {
			t.Fatalf("role changes %+v while all demand is served, want none", changes)
		}
	})
}

func TestCollectorSumsAndExpiresReports(t *testing.T) {
	c := NewCollector()
	for _, member := range []string{"a", "b"} {
		c.Add(start, Report{Member: member, Models: map[string]Demand{"m": newDemand(drafts)}})
	}
	d := c.Demand(start, "m")
	if d.Requests != 2*drafts.Requests || len(d.Classes) != 1 || d.Classes[0].Requests != 2*drafts.Requests {
		t.Errorf("demand %+v, want twice %+v", d, drafts)
	}
	later := c.Demand(start.Add(reportTTL+sampleInterval), "m")
	if later.Requests != 0 || len(later.Recent) != 2 {
		t.Errorf("%g requests/s with %d samples, want 0 with 2", later.Requests, len(later.Recent))
	}
}

// TestExpiredReportDoesNotCount checks that a report counts for reportTTL and not
// until the next sample.
func TestExpiredReportDoesNotCount(t *testing.T) {
	c := NewCollector()
	c.Add(start, Report{Member: "a", Models: map[string]Demand{"m": newDemand(drafts)}})
	if d := c.Demand(start.Add(reportTTL), "m"); d.Requests != drafts.Requests {
		t.Errorf("at the end of its time: %g requests/s, want %g", d.Requests, drafts.Requests)
	}
	if d := c.Demand(start.Add(reportTTL+time.Millisecond), "m"); d.Requests != 0 {
		t.Errorf("after its time: %g requests/s, want 0", d.Requests)
	}
}
