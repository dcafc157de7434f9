package retry

import (
	"maps"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// maxReportGap is the time without a report after which a process may have used more than
// is known of it.
const maxReportGap = 500 * time.Millisecond

// Aggregator is a control replica's record of the retries of all processes of a deployment.
// It holds for the length of the window what processes have used that have ended since.
// It is safe for concurrent use.
type Aggregator struct {
	clock   clock.Clock
	bound   Bound
	created clock.Instant

	mu        sync.Mutex // guards the fields below
	services  map[string]*Window
	processes map[uint64]*process // by incarnation
	// newest holds the newest incarnation of each process, by name.
	newest    map[string]uint64
	peak      *Peak
	connected int
	// changed is when a process last joined or left.
	changed clock.Instant
}

// process is what an aggregator knows of one incarnation of a process.
type process struct {
	used       map[string]Use // by service
	reportedAt clock.Instant
	// connections counts the open connections, and lost is set if the last one ended
	// some time after the last report.
	connections int
	lost        bool
}

// outOfContact reports whether the process may have used more than it reported.
func (p *process) outOfContact(now clock.Instant) bool {
	return p.lost || p.connections > 0 && now.Sub(p.reportedAt) > maxReportGap
}

// NewAggregator returns an empty aggregator for a bound, which is complete after one window.
func NewAggregator(c clock.Clock, b Bound) *Aggregator {
	if b.Window <= 0 {
		b.Window = DefaultWindow
	}
	now := c.Now()
	return &Aggregator{
		clock: c, bound: b, created: now, services: make(map[string]*Window), processes: make(map[uint64]*process),
		newest: make(map[string]uint64), peak: NewPeak(c), changed: now,
	}
}

// SetConnected sets the number of processes that are connected.
func (g *Aggregator) SetConnected(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connected = n
	g.peak.Observe(n)
}

// Joined records that an incarnation of a named process has connected. Its predecessor has
// ended; if that was out of contact, it may have used its part of the bound.
func (g *Aggregator) Joined(name string, incarnation uint64) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	predecessor := g.processes[g.newest[name]]
	if g.newest[name] != incarnation && predecessor != nil && predecessor.outOfContact(now) {
		g.addUnknownUse()
		predecessor.lost = false
	}
	g.newest[name] = max(g.newest[name], incarnation)
	g.forgetEnded(now)
	p := g.processes[incarnation]
	if p == nil {
		p = &process{used: make(map[string]Use)}
		g.processes[incarnation] = p
	}
	p.connections++
	p.lost = false
	p.reportedAt, g.changed = now, now
}

// addUnknownUse counts the retries that one process may make at most as made. g.mu must
// be held.
func (g *Aggregator) addUnknownUse() {
	processes := max(1, g.peak.Value())
	for _, w := range g.services {
		w.add(0, int(ownFraction*g.bound.Part(w.Usage().Requests/processes, processes)))
	}
}

// Left records that the connection of a process has ended.
func (g *Aggregator) Left(incarnation uint64) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.processes[incarnation]
	if p == nil {
		return
	}
	p.connections--
	g.changed = now
	p.lost = now.Sub(p.reportedAt) > maxReportGap
}

// forgetEnded drops the incarnations that have ended, and those that have been out of
// contact for long. g.mu must be held.
func (g *Aggregator) forgetEnded(now clock.Instant) {
	maps.DeleteFunc(g.processes, func(_ uint64, p *process) bool {
		age := now.Sub(p.reportedAt)
		return p.connections == 0 && age > g.bound.Window && (!p.lost || age > peakRetention)
	})
	maps.DeleteFunc(g.newest, func(_ string, incarnation uint64) bool { return g.processes[incarnation] == nil })
}

// Record adds a report of a process that has joined.
func (g *Aggregator) Record(incarnation uint64, uses []Use) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.processes[incarnation]
	if p == nil {
		return
	}
	p.reportedAt = g.clock.Now()
	for _, u := range uses {
		last := p.used[u.Service]
		requests, retries := max(0, u.Requests-last.Requests), max(0, u.Retries-last.Retries)
		p.used[u.Service] = u
		if u.Recent == nil {
			g.window(u.Service).add(requests, retries)
			continue
		}
		g.window(u.Service).addRecent(u.Recent, requests, retries)
	}
}

// window returns the window of a service. g.mu must be held.
func (g *Aggregator) window(service string) *Window {
	w := g.services[service]
	if w == nil {
		w = NewWindow(g.clock, g.bound.Window)
		g.services[service] = w
	}
	return w
}

// Deployment returns the state of the deployment as a process gets it.
func (g *Aggregator) Deployment(incarnation uint64) Deployment {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	d := Deployment{
		Processes: g.peak.Value(),
		Connected: g.connected,
		Settled:   now.Sub(g.changed) >= g.bound.Window,
		Complete:  now.Sub(g.created) >= g.bound.Window,
	}
	if d.Settled {
		return d
	}
	p := g.processes[incarnation]
	for service, w := range g.services {
		u := w.Usage()
		t := Total{Service: service, Requests: u.Requests, Retries: u.Retries}
		if p != nil {
			t.Counted = p.used[service].Retries
		}
		d.Totals = append(d.Totals, t)
	}
	return d
}
