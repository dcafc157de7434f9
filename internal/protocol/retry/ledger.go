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

// Ledger is a control replica's record of the retries of all processes of a deployment.
// It holds for the length of the window what processes have used that have ended since.
// It is safe for concurrent use.
type Ledger struct {
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

// process is what a ledger knows of one incarnation of a process.
type process struct {
	used       map[string]Use // by service
	reportedAt clock.Instant
	// connections counts the open connections, and lost is set if the last one ended
	// some time after the last report.
	connections int
	lost        bool
}

// NewLedger returns an empty ledger for a bound, which is complete after one window.
func NewLedger(c clock.Clock, b Bound) *Ledger {
	if b.Window <= 0 {
		b.Window = DefaultWindow
	}
	now := c.Now()
	return &Ledger{
		clock: c, bound: b, created: now, services: make(map[string]*Window), processes: make(map[uint64]*process),
		newest: make(map[string]uint64), peak: NewPeak(c), changed: now,
	}
}

// SetConnected sets the number of processes that are connected.
func (l *Ledger) SetConnected(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connected = n
	l.peak.Observe(n)
}

// Joined records that an incarnation of a named process has connected. Its predecessor has
// ended; if that was out of contact, it may have used its part of the bound.
func (l *Ledger) Joined(name string, incarnation uint64) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	predecessor := l.processes[l.newest[name]]
	if l.newest[name] != incarnation && predecessor != nil && (predecessor.lost || now.Sub(predecessor.reportedAt) > maxReportGap && predecessor.connections > 0) {
		l.addUnknownUse()
		predecessor.lost = false
	}
	l.newest[name] = max(l.newest[name], incarnation)
	l.forgetEnded(now)
	p := l.processes[incarnation]
	if p == nil {
		p = &process{used: make(map[string]Use)}
		l.processes[incarnation] = p
	}
	p.connections++
	p.lost = false
	p.reportedAt, l.changed = now, now
}

// addUnknownUse counts the retries that one process may make at most as made. l.mu must
// be held.
func (l *Ledger) addUnknownUse() {
	processes := max(1, l.peak.Value())
	for _, w := range l.services {
		w.add(0, int(ownFraction*l.bound.Part(w.Usage().Requests/processes, processes)))
	}
}

// Left records that the connection of a process has ended.
func (l *Ledger) Left(incarnation uint64) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.processes[incarnation]
	if p == nil {
		return
	}
	p.connections--
	l.changed = now
	p.lost = now.Sub(p.reportedAt) > maxReportGap
}

// forgetEnded drops the incarnations that have ended, and those that have been out of
// contact for long. l.mu must be held.
func (l *Ledger) forgetEnded(now clock.Instant) {
	maps.DeleteFunc(l.processes, func(_ uint64, p *process) bool {
		age := now.Sub(p.reportedAt)
		return p.connections == 0 && age > l.bound.Window && (!p.lost || age > peakRetention)
	})
	maps.DeleteFunc(l.newest, func(_ string, incarnation uint64) bool { return l.processes[incarnation] == nil })
}

// Record adds a report of a process that has joined.
func (l *Ledger) Record(incarnation uint64, uses []Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.processes[incarnation]
	if p == nil {
		return
	}
	p.reportedAt = l.clock.Now()
	for _, u := range uses {
		last := p.used[u.Service]
		requests, retries := max(0, u.Requests-last.Requests), max(0, u.Retries-last.Retries)
		p.used[u.Service] = u
		if u.Recent == nil {
			l.window(u.Service).add(requests, retries)
			continue
		}
		l.window(u.Service).addRecent(u.Recent, requests, retries)
	}
}

// window returns the window of a service. l.mu must be held.
func (l *Ledger) window(service string) *Window {
	w := l.services[service]
	if w == nil {
		w = NewWindow(l.clock, l.bound.Window)
		l.services[service] = w
	}
	return w
}

// Deployment returns the state of the deployment as a process gets it.
func (l *Ledger) Deployment(incarnation uint64) Deployment {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Deployment{
		Processes: l.peak.Value(),
		Connected: l.connected,
		Settled:   now.Sub(l.changed) >= l.bound.Window,
		Complete:  now.Sub(l.created) >= l.bound.Window,
	}
	if d.Settled {
		return d
	}
	p := l.processes[incarnation]
	for service, w := range l.services {
		u := w.Usage()
		t := Total{Service: service, Requests: u.Requests, Retries: u.Retries}
		if p != nil {
			t.Counted = p.used[service].Retries
		}
		d.Totals = append(d.Totals, t)
	}
	return d
}
