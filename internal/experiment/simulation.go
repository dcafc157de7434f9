package experiment

import (
	"fmt"
	"math"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/fake/enginemodel"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/fluid"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/roleplan"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

const (
	modelName = "drafting"
	teamName  = "team"
	// reportInterval is the interval between load reports, in seconds.
	reportInterval = 0.5
	// demandInterval is the interval between demand reports, in seconds.
	demandInterval = 1
	// roleChangeTime is how long an engine is unavailable during a role change,
	// in seconds.
	roleChangeTime = 6
	// cacheEventDelay is the delay of cache events, in seconds, and
	// cacheEventLoss the fraction of them that is lost.
	cacheEventDelay = 1
	cacheEventLoss  = 0.02
	// maxAttempts is the maximum number of engines tried for one request.
	maxAttempts = 3
)

// engine is one simulated engine.
type engine struct {
	name  string
	model *enginemodel.Engine
	// wakeSequence is the number of the latest scheduled wake-up; earlier ones
	// are ignored.
	wakeSequence int
	roleSince    clock.Instant
}

// entry is one simulated entry.
type entry struct {
	clock      *virtualClock
	tracker    *routing.Tracker
	controller *admissionController
	picker     routing.Picker
}

// simulation is the state of one run.
type simulation struct {
	deployment  *Deployment
	cell        *Cell
	clock       *virtualClock
	queue       *queue
	model       settings.Model
	engines     []*engine
	indexOf     map[string]int
	entries     []*entry
	collector   *roleplan.Collector
	result      *Result
	cacheEvents int
}

// run simulates one policy on the arrivals of a cell.
func run(d *Deployment, c *Cell, p *Policy, arrivals []arrival, seed uint64) *Result {
	s := newSimulation(d, c, p, seed)
	end := c.Duration
	s.queue.every(0, reportInterval, end, s.reportLoads)
	s.queue.every(0, demandInterval, end, s.reportDemand)
	if roles := p.newRolePolicy(d); roles != nil {
		s.queue.every(warmUp/2, roles.interval(), end, func() { roles.plan(s) })
	}
	for _, l := range c.Crashes {
		s.queue.at(l.At, func() { s.crash(l.Engine) })
		if l.RestartAt > 0 {
			s.queue.at(l.RestartAt, s.engines[l.Engine].model.Restart)
		}
	}
	for i := range arrivals {
		a := &arrivals[i]
		s.queue.at(a.at, func() { s.arrive(a) })
	}
	s.queue.run()
	return s.result
}

func newSimulation(d *Deployment, c *Cell, p *Policy, seed uint64) *simulation {
	now := &virtualClock{}
	s := &simulation{
		deployment: d, cell: c, clock: now, queue: &queue{clock: now},
		indexOf: make(map[string]int), collector: roleplan.NewCollector(),
		result: newResult(d),
	}
	s.addEngines()
	configuration := s.configuration()
	s.model = configuration.Models[modelName]
	for i := range d.Entries {
		e := &entry{clock: now, tracker: routing.NewTracker(now)}
		e.tracker.Configure(configuration)
		p.installPicker(e, d.Entries, seed*1000+uint64(i))
		s.entries = append(s.entries, e)
		if p.sharedView {
			p.installPicker(e, 1, seed)
			break
		}
	}
	return s
}

func (s *simulation) addEngines() {
	table := speed.Default
	for i, role := range initialRoles(s.deployment, s.cell) {
		e := &engine{name: engineName(i), model: enginemodel.New(&table, role)}
		e.model.SetBackgroundShare(s.cell.OldSystemShare)
		s.indexOf[e.name] = i
		s.engines = append(s.engines, e)
	}
}

func engineName(i int) string { return fmt.Sprintf("engine-%04d", i) }

func zoneName(i int) string { return string(rune('a' + i)) }

func (s *simulation) configuration() *settings.Configuration {
	model := settings.Model{Engines: make(map[string]settings.Engine), RolePrice: s.deployment.RolePrice, MinPrefill: 1, MinDecode: 1}
	for i, e := range s.engines {
		model.Engines[e.name] = settings.Engine{
			URL: "http://" + e.name, Zone: zoneName(i % s.deployment.Zones), Authority: settings.AuthorityLagoonshift,
		}
	}
	classes := make(map[string]settings.Class)
	for _, k := range s.deployment.Classes {
		classes[k.Name] = settings.Class{Model: modelName, ExpectedWait: strictjson.Duration(speed.Seconds(k.Wait)), Worth: k.Worth}
	}
	return &settings.Configuration{
		Models: map[string]settings.Model{modelName: model},
		Teams:  map[string]settings.Team{teamName: {Classes: classes}},
	}
}

// initialRoles returns the roles with which a fluid plan serves the highest worth
// of the cell's sampled demand at full load. All policies start with them.
func initialRoles(d *Deployment, c *Cell) []settings.Role {
	mixes := sampleDemand(d, c)
	var best fluid.Capacity
	most := -1.0
	for prefill := 1; prefill < d.Engines; prefill++ {
		for decode := 1; prefill+decode <= d.Engines; decode++ {
			capacity := fluid.Capacity{float64(prefill), float64(decode), float64(d.Engines - prefill - decode)}
			worth := 0.0
			for _, classes := range mixes {
				worth += fluid.Optimize(&speed.Default, capacity, classes).Worth
			}
			if worth > most {
				best, most = capacity, worth
			}
		}
	}
	var out []settings.Role
	for r, n := range best {
		for range int(n) {
			out = append(out, speed.Roles[r])
		}
	}
	return out
}

// sampleDemand returns the demand at evenly spaced times of the cell, scaled to
// the capacity of the fleet.
func sampleDemand(d *Deployment, c *Cell) [][]fluid.Class {
	const moments = 8
	full := *c
	full.Load = constant(1)
	full.WavePeriod = 0
	var out [][]fluid.Class
	for i := range moments {
		t := warmUp + (c.Duration-warmUp)*float64(i)/moments
		var classes []fluid.Class
		for k, rate := range full.rates(d, t) {
			class := &d.Classes[k]
			classes = append(classes, fluid.Class{
				Rate: rate, PromptTokens: float64(class.UniqueTokens),
				OutputTokens: float64(class.MaxOutput) * meanOutputFraction, Worth: class.Worth,
			})
		}
		out = append(out, classes)
	}
	return out
}

// reportLoads takes a load report of every engine and schedules its delivery to
// the entries after ReportDelay.
func (s *simulation) reportLoads() {
	for _, e := range s.engines {
		s.advance(e)
		if !e.model.Up() {
			continue
		}
		report := e.model.Report(modelName)
		events := e.model.CacheEvents()
		at := s.clock.Now()
		s.queue.at(s.clock.now+s.cell.ReportDelay, func() {
			for _, n := range s.entries {
				n.tracker.ApplyReport(e.name, report, at)
			}
		})
		s.queue.at(s.clock.now+cacheEventDelay, func() { s.deliverCacheEvents(e.name, events) })
	}
}

func (s *simulation) deliverCacheEvents(name string, events []routing.CacheEvent) {
	for _, event := range events {
		s.cacheEvents++
		if s.cacheEvents%int(1/cacheEventLoss) == 0 {
			continue
		}
		for _, n := range s.entries {
			n.tracker.ApplyCacheEvent(name, event)
		}
	}
}

func (s *simulation) reportDemand() {
	for i, n := range s.entries {
		s.collector.Add(s.clock.Now(), roleplan.Report{Member: engineName(i), Models: n.controller.Demand()})
	}
}

func (s *simulation) planEngines() []roleplan.Engine {
	out := make([]roleplan.Engine, 0, len(s.engines))
	for _, e := range s.engines {
		changing := e.model.ChangingRole()
		out = append(out, roleplan.Engine{
			Name: e.name, Role: e.model.Role(), Available: e.model.Up() && !changing, Changing: changing, Since: e.roleSince,
		})
	}
	return out
}

func (s *simulation) anyRoleChanging() bool {
	for _, e := range s.engines {
		if e.model.ChangingRole() {
			return true
		}
	}
	return false
}

func (s *simulation) changeRole(i int, role settings.Role) {
	e := s.engines[i]
	s.advance(e)
	e.model.ChangeRole(role, roleChangeTime)
	e.roleSince = s.clock.Now().Add(speed.Seconds(roleChangeTime))
	s.result.RoleChanges++
	s.schedule(e)
}

func (s *simulation) crash(i int) {
	e := s.engines[i]
	s.advance(e)
	e.model.Crash()
}

// advance advances an engine to the current virtual time.
func (s *simulation) advance(e *engine) {
	e.model.Advance(s.clock.now)
}

// schedule schedules a wake-up at the engine's next event and replaces any
// earlier one.
func (s *simulation) schedule(e *engine) {
	e.wakeSequence++
	wake := e.wakeSequence
	next := e.model.Next()
	if math.IsInf(next, 1) {
		return
	}
	s.queue.at(next, func() {
		if e.wakeSequence != wake {
			return
		}
		s.advance(e)
		s.schedule(e)
	})
}
