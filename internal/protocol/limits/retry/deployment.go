package retry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// ownFraction is the fraction of its part of the bound that a process uses. The rest
	// covers the time between the send of a retry and its arrival.
	ownFraction = 0.9
	// unsettledFraction is the fraction of the bound that all processes use together
	// after one has started, ended or been out of contact. The rest covers what it had
	// not reported, and what processes take at the same time.
	unsettledFraction = 0.7
	// stoppedFraction is the fraction of its part of the bound that a process uses for the
	// requests so far, if no more come. The rest covers parts of buckets.
	stoppedFraction = 0.95
	// outOfContactFraction replaces ownFraction once no control replica is in contact any
	// more. Then requests may move to this process from others that have used
	// their parts; what it had before the contact ended counts alone.
	outOfContactFraction = 0.7
	// maxDeploymentAge is the age at which the figures of a control replica are
	// discarded: several of the longest intervals between two of them.
	maxDeploymentAge = 700 * time.Millisecond
	// retriesPerReport is the number of retries after which a process reports at once.
	retriesPerReport = 4
	// requestReportInterval is the interval at which requests are reported while no
	// retries are.
	requestReportInterval = time.Second
)

// Deployment is what a control replica knows of the retries of all processes.
type Deployment struct {
	// Processes is the number of processes that share the slack, and Connected the number
	// of those that the replica is in contact with.
	Processes, Connected int
	// Settled is set if no process has started, ended or been out of contact within the
	// window. Then the parts of the processes add up to the bound, and Totals is empty.
	Settled bool
	// Complete is set if the totals hold what the processes that have ended made within
	// the window.
	Complete bool
	Totals   []Total
}

// Total is the sum over all processes, within the window.
type Total struct {
	Service  string
	Requests int
	Retries  int
	// Counted is how many retries of the receiving process the replica knows of, since
	// that process has started.
	Counted int
}

// Use is what a process has used of a service's budget since it has started.
type Use struct {
	Service  string
	Requests int
	Retries  int
	// Recent is set in the first report over a connection.
	Recent *Recent
}

// Recent is what a process has used within the window, by tenth of the window, the
// newest first.
type Recent struct {
	Requests []int
	Retries  []int
}

// Accounts holds one process's accounts of the retry budgets of all services. It is
// safe for concurrent use.
type Accounts struct {
	clock   clock.Clock
	bound   Bound
	started clock.Instant
	// wake makes the next report to the control replicas due.
	wake func()
	// deployment is the newest state received from a control replica, or nil.
	deployment atomic.Pointer[deployment]
	processes  *Peak
	// accounts is an immutable map by service.
	accounts atomic.Pointer[map[string]*Account]

	mu sync.Mutex // guards the field below and changes of accounts
	// sent holds the newest reports, by source and service.
	sent map[string]map[string]sentUse
}

// deployment is a Deployment in the form that a decision needs.
type deployment struct {
	at                clock.Instant
	settled, complete bool
	// reached is the fraction of the processes that the replica is in contact with.
	reached float64
	// ownRequests holds this process's requests within the window, by service.
	ownRequests map[string]int
	totals      map[string]Total
}

type sentUse struct {
	use Use
	at  clock.Instant
}

// NewAccounts returns the accounts of a process that starts now. wake is called when a
// report to the control replicas should not wait; it must not block.
func NewAccounts(c clock.Clock, b Bound, wake func()) *Accounts {
	if b.Window <= 0 {
		b.Window = DefaultWindow
	}
	a := &Accounts{clock: c, bound: b, started: c.Now(), wake: wake, processes: NewPeak(c), sent: make(map[string]map[string]sentUse)}
	a.accounts.Store(&map[string]*Account{})
	return a
}

// Account returns the account of a service.
func (a *Accounts) Account(service string) *Account {
	if account := (*a.accounts.Load())[service]; account != nil {
		return account
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	held := *a.accounts.Load()
	if account := held[service]; account != nil {
		return account
	}
	next := maps.Clone(held)
	next[service] = &Account{
		window: NewWindow(a.clock, a.bound.Window),
		allows: func(u Usage) bool { return a.allows(service, u) },
		limit: func(requests int) float64 {
			return stoppedFraction * a.bound.Part(requests, a.processes.Value())
		},
	}
	next[service].window.onRetry = func(made int) {
		if made%retriesPerReport == 0 {
			a.wake()
		}
	}
	a.accounts.Store(&next)
	return next[service]
}

// SetDeployment sets the newest state of the deployment.
func (a *Accounts) SetDeployment(d Deployment) {
	a.processes.Observe(d.Processes)
	next := &deployment{
		at: a.clock.Now(), settled: d.Settled, complete: d.Complete, totals: make(map[string]Total, len(d.Totals)),
		reached:     float64(d.Connected) / float64(max(1, d.Processes)),
		ownRequests: make(map[string]int),
	}
	for service, account := range *a.accounts.Load() {
		next.ownRequests[service] = account.Usage().Requests
	}
	for _, t := range d.Totals {
		next.totals[t.Service] = t
	}
	a.deployment.Store(next)
}

// ObserveProcesses records how many processes a control replica knows that is not asked
// for totals.
func (a *Accounts) ObserveProcesses(n int) { a.processes.Observe(n) }

// allows decides on one more retry. Two limits hold: this process's part of the bound, and
// what all processes together have left of it. While the deployment is settled the first
// implies the second. What the predecessor of a process that has just started has used is
// known from the totals alone.
func (a *Accounts) allows(service string, u Usage) bool {
	now, processes := a.clock.Now(), a.processes.Value()
	part, fraction := a.bound.Part(u.Requests, processes), ownFraction
	young := now.Sub(a.started) < a.bound.Window
	d := a.deployment.Load()
	if d == nil {
		return !young && float64(u.Retries+1) <= fraction*part
	}
	age := now.Sub(d.at)
	inContact := age <= maxDeploymentAge
	if young && !(inContact && d.complete) {
		return false
	}
	if !inContact {
		part, fraction = a.bound.Part(min(u.Requests, d.ownRequests[service]), processes), outOfContactFraction
	}
	if float64(u.Retries+1) > fraction*part {
		return false
	}
	return d.settled || age >= a.bound.Window || d.allows(a.bound, d.totals[service], u, part)
}

// allows reports whether all processes together have retries left for one whose own part
// of the bound is given.
func (d *deployment) allows(b Bound, t Total, u Usage, part float64) bool {
	limit := b.Share*float64(max(t.Requests, u.Requests)) + b.Slack*d.reached
	left := unsettledFraction*limit - float64(t.Retries)
	return float64(u.Taken-t.Counted+1) <= left*part/limit
}

// Pending returns what a control replica doesn't know yet. The caller must send it to
// the replica, in order. first is set for the first report over a connection.
func (a *Accounts) Pending(source string, first bool) []Use {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if first || a.sent[source] == nil {
		a.sent[source] = make(map[string]sentUse)
	}
	var out []Use
	for service, account := range *a.accounts.Load() {
		u := account.Usage()
		last, known := a.sent[source][service]
		changed := u.Made != last.use.Retries || u.RequestsEver != last.use.Requests && now.Sub(last.at) >= requestReportInterval
		if known && !changed {
			continue
		}
		use := Use{Service: service, Requests: u.RequestsEver, Retries: u.Made}
		a.sent[source][service] = sentUse{use: use, at: now}
		if !known {
			use.Recent = account.window.recent()
		}
		out = append(out, use)
	}
	return out
}

// State is the state of one account, for logs and metrics.
type State struct {
	Usage
	// Allowed is the number of retries that the process allows itself within the window
	// while the deployment is settled, and Slack the part of the slack in it.
	Allowed, Slack float64
	// Processes is the number of processes that the slack is divided by.
	Processes int
	// InContact is set if a control replica is in contact. The fields below are as it
	// sent them.
	InContact, Settled, Complete bool
	Total                        Total
}

// States returns the state of each account, by service.
func (a *Accounts) States() map[string]State {
	n, d := a.processes.Value(), a.deployment.Load()
	out := make(map[string]State)
	for service, account := range *a.accounts.Load() {
		u := account.Usage()
		s := State{Usage: u, Processes: n, Allowed: ownFraction * a.bound.Part(u.Requests, n), Slack: ownFraction * a.bound.Part(0, n)}
		if d != nil && a.clock.Now().Sub(d.at) <= maxDeploymentAge {
			s.InContact, s.Settled, s.Complete, s.Total = true, d.settled, d.complete, d.totals[service]
		}
		out[service] = s
	}
	return out
}
