package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	simStep = 20 * time.Millisecond
	// simIdleTimeout is when a replica ends the connection of a silent process.
	simIdleTimeout = 1200 * time.Millisecond
	simService     = "llm"
	// maxWeight bounds the weights by which requests are spread over entries.
	maxWeight = 1.0
)

// simMessage is a report or an answer on its way.
type simMessage struct {
	arrives clock.Instant
	deliver func()
}

// simEntry is an entry with the process that runs on it, if any.
type simEntry struct {
	name        string
	accounts    *Accounts
	incarnation uint64
	weight      float64
	// connection numbers the connections to the replica; connected is set while there is
	// one. Messages of older connections are dropped.
	connection int
	connected  bool
	first      bool
	lastReport clock.Instant
	wake       bool
	// frozen, cut and down last until these instants.
	frozen, cut, down clock.Instant
}

// simulation plays a deployment whose entries make every retry that they may.
type simulation struct {
	clock      *manualClock
	random     *rand.Rand
	bound      Bound
	aggregator *Aggregator
	entries    []*simEntry
	interval   time.Duration
	latency    time.Duration
	next       uint64
	inFlight   []simMessage
	// requests and retries hold when they were made, in order.
	requests, retries []clock.Instant
	// calmFraction is the fraction of its requests for which a process may make retries at
	// least while nothing disturbs the entries, or zero; deniedEarly counts the retries that
	// were denied meanwhile to a process whose own part had room.
	calmFraction float64
	deniedEarly  int
}

func newSimulation(random *rand.Rand, entries int, b Bound) *simulation {
	s := &simulation{
		clock: &manualClock{now: clock.Instant(time.Hour)}, random: random, bound: b,
		// The replicas' interval grows with the number of entries.
		interval: min(max(25*time.Millisecond, time.Duration(entries)*time.Millisecond), 200*time.Millisecond), latency: 2 * time.Millisecond,
	}
	s.aggregator = NewAggregator(s.clock, b)
	for range entries {
		s.addEntry()
	}
	return s
}

func (s *simulation) addEntry() {
	e := &simEntry{name: fmt.Sprint(len(s.entries)), weight: maxWeight * (1 + s.random.Float64()) / 2}
	s.entries = append(s.entries, e)
	s.startProcess(e)
}

func (s *simulation) startProcess(e *simEntry) {
	s.next++
	e.incarnation, e.lastReport = s.next, 0
	e.accounts = NewAccounts(s.clock, s.bound, func() { e.wake = true })
}

// kill ends the process of an entry: its connection closes, and what it had not
// sent is lost.
func (s *simulation) kill(e *simEntry, downtime time.Duration) {
	if e.accounts == nil {
		return
	}
	e.accounts, e.down = nil, s.clock.now.Add(downtime)
	s.disconnect(e, s.clock.now.Before(e.cut))
}

// disconnect ends the connection of an entry, which the replica notices at once or after its
// idle timeout.
func (s *simulation) disconnect(e *simEntry, silently bool) {
	if !e.connected {
		return
	}
	e.connected = false
	aggregator, incarnation, delay := s.aggregator, e.incarnation, s.latency
	if silently {
		delay = simIdleTimeout
	}
	s.after(delay, func() {
		aggregator.Left(incarnation)
		aggregator.SetConnected(s.countConnected())
	})
}

func (s *simulation) after(d time.Duration, deliver func()) {
	s.inFlight = append(s.inFlight, simMessage{arrives: s.clock.now.Add(d), deliver: deliver})
}

func (s *simulation) deliverDue() {
	due := s.inFlight
	s.inFlight = nil
	for _, m := range due {
		if m.arrives.Before(s.clock.now.Add(1)) {
			m.deliver()
		} else {
			s.inFlight = append(s.inFlight, m)
		}
	}
}

// exchange sends a report of an entry and the replica's answer to it.
func (s *simulation) exchange(e *simEntry) {
	if !e.connected {
		e.connected, e.first = true, true
		e.connection++
		s.aggregator.Joined(e.name, e.incarnation)
		s.aggregator.SetConnected(s.countConnected())
	}
	uses := e.accounts.Pending("replica", e.first)
	e.first, e.wake, e.lastReport = false, false, s.clock.now
	aggregator, incarnation, accounts, connection := s.aggregator, e.incarnation, e.accounts, e.connection
	s.after(s.latency, func() {
		aggregator.Record(incarnation, uses)
		d := aggregator.Deployment(incarnation)
		s.after(s.latency, func() {
			if e.accounts == accounts && e.connection == connection && !s.clock.now.Before(e.cut) {
				accounts.SetDeployment(d)
			}
		})
	})
}

func (s *simulation) countConnected() (n int) {
	for _, e := range s.entries {
		if e.connected {
			n++
		}
	}
	return n
}

// step advances by simStep with the given number of requests, of which a fraction needs
// retries, and a number of retries that are needed at once at each entry.
func (s *simulation) step(requests int, failing float64, atOnce int) {
	s.clock.now = s.clock.now.Add(simStep)
	s.deliverDue()
	running := s.running()
	for range requests {
		s.requests = append(s.requests, s.clock.now)
		e := s.pick(running)
		if e == nil {
			continue
		}
		e.accounts.Account(simService).Request()
		for range 2 {
			if s.random.Float64() < failing {
				s.retry(e)
			}
		}
	}
	for _, e := range running {
		for range atOnce {
			s.retry(e)
		}
		reachable := !s.clock.now.Before(e.cut)
		if !reachable && s.clock.now.Sub(e.lastReport) > simIdleTimeout {
			s.disconnect(e, true)
		}
		if reachable && (e.wake || s.clock.now.Sub(e.lastReport) >= s.interval) {
			s.exchange(e)
		}
	}
}

// running returns the entries whose processes run, and restarts those that are due.
func (s *simulation) running() (out []*simEntry) {
	for _, e := range s.entries {
		if e.accounts == nil && !s.clock.now.Before(e.down) {
			s.startProcess(e)
		}
		if e.accounts != nil && !s.clock.now.Before(e.frozen) {
			out = append(out, e)
		}
	}
	return out
}

// pick returns a running entry at random, by weight.
func (s *simulation) pick(running []*simEntry) *simEntry {
	for len(running) > 0 {
		if e := running[s.random.IntN(len(running))]; s.random.Float64()*maxWeight < e.weight {
			return e
		}
	}
	return nil
}

func (s *simulation) retry(e *simEntry) {
	account := e.accounts.Account(simService)
	r, ok := account.Take()
	if !ok {
		if s.calmFraction == 0 {
			return
		}
		if u := account.Usage(); float64(u.Retries+1) <= ownFraction*s.bound.Part(int(s.calmFraction*float64(u.Requests)), len(s.entries)) {
			s.deniedEarly++
		}
		return
	}
	r.Made()
	s.retries = append(s.retries, s.clock.now)
}

// exceeded returns the most that the retries of some window exceed the bound by.
func (s *simulation) exceeded() (most float64, at time.Duration) {
	between := func(times []clock.Instant, from, to clock.Instant) int {
		position := func(i clock.Instant) int {
			n, _ := slices.BinarySearchFunc(times, i, func(a, b clock.Instant) int { return int(a - b) })
			return n
		}
		return position(to) - position(from)
	}
	for i, start := range s.retries {
		if i > 0 && s.retries[i-1] == start {
			continue
		}
		end, requests := start.Add(s.bound.Window), 0
		for _, earlier := range []time.Duration{0, s.bound.Window / 2, s.bound.Window} {
			requests = max(requests, between(s.requests, start.Add(-earlier), end.Add(-earlier)))
		}
		if over := float64(between(s.retries, start, end)) - s.bound.Limit(requests); over > most {
			most, at = over, start.Sub(clock.Instant(time.Hour))
		}
	}
	return most, at
}

// disturb disturbs a random part of the entries in one way.
func (s *simulation) disturb() string {
	part := s.random.Perm(len(s.entries))[:1+s.random.IntN(len(s.entries))]
	d := time.Duration(s.random.IntN(8000)) * time.Millisecond
	what := s.random.IntN(6)
	for _, i := range part {
		e := s.entries[i]
		switch what {
		case 0, 1, 2:
			s.kill(e, min(d, 2*time.Second))
		case 3:
			e.frozen = s.clock.now.Add(d)
			if d > simIdleTimeout {
				s.disconnect(e, true)
			}
		case 4:
			e.cut = s.clock.now.Add(2 * d)
		}
	}
	if what == 5 { // an entry joins
		s.addEntry()
	}
	return fmt.Sprintf("%v: disturbance %d of %d entries for %v", s.clock.now.Sub(clock.Instant(time.Hour)), what, len(part), d)
}

// largeDeployments are numbers of entries that take long to play, each with a seed.
var largeDeployments = []struct {
	entries int
	seed    uint64
}{{82, 1}, {82, 2}, {300, 3}}

// checkDeployments plays eight entries with random seeds, and largeDeployments.
func checkDeployments(t *testing.T, play func(s *simulation) (finding string)) {
	bound := func(entries int) Bound {
		return Bound{Share: 0.2, Slack: 7 * float64(entries), Window: 10 * time.Second}
	}
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		if finding := play(newSimulation(random, 8, bound(8))); finding != "" {
			t.Fatal(finding)
		}
	})
	for _, d := range largeDeployments {
		random := rand.New(rand.NewPCG(d.seed, 0))
		if finding := play(newSimulation(random, d.entries, bound(d.entries))); finding != "" {
			t.Errorf("%d entries, seed %d: %s", d.entries, d.seed, finding)
		}
	}
}

// requestsIn returns the number of requests within a step.
func (s *simulation) requestsIn(step time.Duration, pressure float64) int {
	const requestsPerEntry = 14 // a second
	return int(pressure*requestsPerEntry*float64(len(s.entries))*step.Seconds() + s.random.Float64())
}

// TestRetriesOfAllEntriesKeepToTheBudget guards against more retries than the deployment's
// bound while entries die, start, freeze, join or are cut off.
func TestRetriesOfAllEntriesKeepToTheBudget(t *testing.T) {
	checkDeployments(t, func(s *simulation) string {
		var events []string
		failing, pressure := 0.0, 1.0
		for at := time.Duration(0); at < 45*time.Second; at += simStep {
			atOnce := 0
			switch s.random.IntN(int(time.Second / simStep)) {
			case 0:
				failing = []float64{0, 0.1, 0.6, 0.9}[s.random.IntN(4)]
			case 1:
				if at > 12*time.Second && s.random.IntN(3) == 0 {
					events = append(events, s.disturb())
				}
			case 2:
				if s.random.IntN(4) == 0 {
					atOnce = s.random.IntN(60)
				}
			case 3:
				pressure = 0.7 + s.random.Float64()
			}
			s.step(s.requestsIn(simStep, pressure), failing, atOnce)
		}
		if over, at := s.exceeded(); over > 0 {
			return fmt.Sprintf("%.1f retries beyond the bound in the window from %v\n%v", over, at, events)
		}
		return ""
	})
}

// TestRetriesHoldWhenRequestsStop guards against retries for requests that leave the window
// before any others come, as after a loss of power of all VMs.
func TestRetriesHoldWhenRequestsStop(t *testing.T) {
	checkDeployments(t, func(s *simulation) string {
		for range int(12 * time.Second / simStep) {
			s.step(0, 0, 0)
		}
		sound, failing := time.Duration(s.random.IntN(6000))*time.Millisecond, 0.3+0.7*s.random.Float64()
		end := sound + time.Duration(s.random.IntN(15000))*time.Millisecond
		for at := time.Duration(0); at < end; at += simStep {
			needing := failing
			if at < sound {
				needing = 0
			}
			s.step(s.requestsIn(simStep, 1), needing, 0)
		}
		for _, e := range s.entries {
			s.kill(e, 2*time.Second)
		}
		for range int(s.bound.Window / simStep) {
			s.step(0, 0, 0)
		}
		if over, at := s.exceeded(); over > 0 {
			return fmt.Sprintf("%.1f retries beyond the bound in the window from %v", over, at)
		}
		return ""
	})
}

// TestNoRetryIsLostWhileNothingEnds checks that each process may use its whole part of the
// budget while no process starts, ends or is out of contact, once requests have come for two
// windows, and its part for half of the requests before.
func TestNoRetryIsLostWhileNothingEnds(t *testing.T) {
	checkDeployments(t, func(s *simulation) string {
		for range int(11 * time.Second / simStep) {
			s.step(s.requestsIn(simStep, 1), 0, 0)
		}
		for at := 11 * time.Second; at < 36*time.Second; at += simStep {
			s.calmFraction = 0.5
			if at >= 21*time.Second {
				s.calmFraction = 1
			}
			atOnce := 0
			if s.random.IntN(100) == 0 {
				atOnce = s.random.IntN(60)
			}
			s.step(s.requestsIn(simStep, 1), s.random.Float64(), atOnce)
		}
		if s.deniedEarly > 0 {
			return fmt.Sprintf("%d retries were denied though the entry's part had room", s.deniedEarly)
		}
		return ""
	})
}
