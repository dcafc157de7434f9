package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// Guard holds the lists of all control replicas at one entry and collects the
// evidence that the entry reports to them. It is safe for concurrent use; a
// look-up costs one atomic load while there are no lists.
type Guard struct {
	clock clock.Clock
	// onCrash is called after each crash.
	onCrash func()
	// merged is the union of the lists of all replicas.
	merged atomic.Pointer[merged]
	// lastCrash is when a server of any service last ended, or nil.
	lastCrash atomic.Pointer[clock.Instant]

	mu sync.Mutex // guards the fields below
	// crashedAt holds the time of the newest crash, by service.
	crashedAt map[string]clock.Instant
	// bySource holds the lists by replica, and received when they arrived.
	bySource map[string]received
	// crashes are oldest first, and answers the newest for each key: up to maxAnswers of
	// the latter, and with them up to maxEvidence pieces.
	crashes []observation
	answers map[answerKey]observation
	// added counts the pieces ever added, and sent is the number of these up to which a
	// replica has the evidence.
	added int
	sent  map[string]int
}

// maxAnswers is the part of maxEvidence for answers: all that a replica suspects, and as
// many services as have servers that end.
const maxAnswers = 3 * maxSuspected

// observation is a piece of evidence and the time at which it was seen.
type observation struct {
	Evidence
	at clock.Instant
	// number is its place among all pieces, from one.
	number int
}

type received struct {
	PartLists
	at clock.Instant
}

// merged is immutable.
type merged struct {
	suspected map[string]bool
	// quarantined is until when a part is in quarantine.
	quarantined map[string]clock.Instant
}

// NewGuard returns a guard without lists.
func NewGuard(c clock.Clock) *Guard {
	g := &Guard{
		clock: c, onCrash: func() {}, crashedAt: make(map[string]clock.Instant),
		bySource: make(map[string]received), sent: make(map[string]int), answers: make(map[answerKey]observation),
	}
	g.merged.Store(&merged{})
	return g
}

// OnCrash sets a function that is called after each crash, so that the evidence can be
// reported at once. It must be called before the guard is used.
func (g *Guard) OnCrash(f func()) { g.onCrash = f }

// Active reports whether anything is suspected or in quarantine. If not, requests
// need no keys.
func (g *Guard) Active() bool {
	held := g.merged.Load()
	return len(held.suspected)+len(held.quarantined) > 0
}

// Blocked returns the first of the parts that is in quarantine and how much
// longer it is; ok is false if there is none.
func (g *Guard) Blocked(parts []string) (part string, left time.Duration, ok bool) {
	held := g.merged.Load()
	if len(held.quarantined) == 0 {
		return "", 0, false
	}
	now := g.clock.Now()
	for _, part := range parts {
		if until, found := held.quarantined[part]; found && now < until {
			return part, until.Sub(now), true
		}
	}
	return "", 0, false
}

// Answered records that a server of a service has sent a successful answer, or the first
// event of one, to a request with the given parts and keys. An error response is none: it
// may come from a server that never looked at the prompt.
func (g *Guard) Answered(service string, parts []string) {
	held, lastCrash := g.merged.Load(), g.lastCrash.Load()
	asked := len(held.suspected)+len(held.quarantined) > 0
	if !asked && lastCrash == nil {
		return
	}
	now := g.clock.Now()
	if !asked && now.Sub(*lastCrash) > contrastPeriod {
		return
	}
	var candidates []string
	for _, part := range parts {
		if _, found := held.quarantined[part]; found || held.suspected[part] {
			candidates = append(candidates, part)
		}
	}
	g.reportAnswer(service, candidates, asked, now)
}

// answerKey identifies what was answered: a suspected part, or without one any
// other request of the service.
type answerKey struct {
	service, part string
}

// reportAnswer reports that a service answered a request with the given candidates,
// or with none, unless that was reported within answerReportInterval. asked is set if
// there are lists; otherwise only the answers of services that crashed lately count.
func (g *Guard) reportAnswer(service string, candidates []string, asked bool, now clock.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at, crashed := g.crashedAt[service]; !asked && (!crashed || now.Sub(at) > contrastPeriod) {
		return
	}
	if len(candidates) == 0 {
		candidates = []string{""}
	}
	for _, part := range candidates {
		key := answerKey{service: service, part: part}
		last, known := g.answers[key]
		if known && now.Sub(last.at) < answerReportInterval {
			continue
		}
		if !known && len(g.answers) >= maxAnswers {
			g.dropOldestAnswer()
		}
		e := Evidence{Kind: Answered, Service: service}
		if part != "" {
			e.Parts = []string{part}
		}
		g.answers[key] = g.observe(e, now)
	}
}

// dropOldestAnswer makes room for an answer. g.mu must be held.
func (g *Guard) dropOldestAnswer() {
	var oldest answerKey
	first := g.added + 1
	for key, o := range g.answers {
		if o.number < first {
			oldest, first = key, o.number
		}
	}
	delete(g.answers, oldest)
}

// observe numbers a piece of evidence. g.mu must be held.
func (g *Guard) observe(e Evidence, at clock.Instant) observation {
	g.added++
	return observation{Evidence: e, at: at, number: g.added}
}

// Suspect is a request that was waiting for its answer, or for its first event, at a
// server that ended.
type Suspect struct {
	// Request is its ID.
	Request     string
	Fingerprint Fingerprint
	// Parts are the shared parts of its prompt, in order.
	Parts []string
	// Begun is set if the server had begun to answer.
	Begun bool
	// Age is the time since the attempt failed.
	Age time.Duration
}

// Crashed records that a server ended. Whether its service answers other requests is
// for the replicas to judge, which know what all entries see.
func (g *Guard) Crashed(e fleet.Engine, s Suspect) {
	defer g.onCrash()
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastCrash.Store(&now)
	maps.DeleteFunc(g.crashedAt, func(_ string, at clock.Instant) bool { return now.Sub(at) > contrastPeriod })
	g.crashedAt[e.Service] = now
	if len(g.crashes) >= maxEvidence-maxAnswers {
		g.dropCrash()
	}
	g.crashes = append(g.crashes, g.observe(Evidence{
		Kind: Crash, Service: e.Service, Engine: e.Incarnation(),
		Request: s.Request, Begun: s.Begun, Fingerprint: s.Fingerprint, Parts: s.Parts,
	}, now.Add(-s.Age)))
}

// dropCrash makes room for a crash: it drops a piece on the server under which most
// requests are held, of a request that only waited there if there is one. g.mu must be
// held.
func (g *Guard) dropCrash() {
	held, most := make(map[string]int), g.crashes[0].Engine
	for _, o := range g.crashes {
		held[o.Engine]++
	}
	for _, o := range g.crashes {
		if held[o.Engine] > held[most] {
			most = o.Engine
		}
	}
	drop := slices.IndexFunc(g.crashes, func(o observation) bool { return o.Engine == most && !o.Begun })
	if drop < 0 {
		drop = slices.IndexFunc(g.crashes, func(o observation) bool { return o.Engine == most })
	}
	g.crashes = slices.Delete(g.crashes, drop, drop+1)
}

// Report returns the evidence that a replica doesn't have yet. The first report
// over a connection has all that still counts, and the parts known to be in quarantine.
func (g *Guard) Report(source string, first bool) []Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	var out []Evidence
	if first {
		g.sent[source] = 0
		for part, until := range g.merged.Load().quarantined {
			if now < until {
				out = append(out, Evidence{Kind: InQuarantine, Parts: []string{part}, Left: until.Sub(now)})
			}
		}
	}
	for _, o := range g.unsent(g.sent[source]) {
		if o.Age = now.Sub(o.at); o.Age <= o.retention() {
			out = append(out, o.Evidence)
		}
	}
	g.sent[source] = g.added
	return out
}

// retention returns how long the piece counts. The answer to a part does for as long as the
// part may be in quarantine: a replica that was down has not ended that.
func (e Evidence) retention() time.Duration {
	if e.Kind == Answered && len(e.Parts) > 0 {
		return Duration
	}
	return evidenceRetention
}

// unsent returns the pieces after a number of these, in order. g.mu must be held.
func (g *Guard) unsent(after int) (out []observation) {
	if after == g.added {
		return nil
	}
	for _, o := range g.crashes {
		if o.number > after {
			out = append(out, o)
		}
	}
	for _, o := range g.answers {
		if o.number > after {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b observation) int { return cmp.Compare(a.number, b.number) })
	return out
}

// SetPartLists replaces the lists of one replica. Those of a replica that is
// gone hold until they end, or until this entry sees an answer to the part; its suspected
// parts only as long as evidence counts.
func (g *Guard) SetPartLists(source string, v PartLists) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.bySource[source] = received{PartLists: v, at: now}
	next, answered := &merged{suspected: make(map[string]bool), quarantined: make(map[string]clock.Instant)}, g.answeredParts()
	for source, held := range g.bySource {
		if now.Sub(held.at) > Duration {
			delete(g.bySource, source)
			delete(g.sent, source)
			continue
		}
		for _, part := range held.Suspected {
			if now.Sub(held.at) <= evidenceRetention {
				next.suspected[part] = true
			}
		}
		for _, q := range held.Quarantined {
			until := held.at.Add(min(q.Left, Duration))
			if at, ok := answered[q.Part]; !ok || at < until.Add(-Duration) {
				next.quarantined[q.Part] = max(next.quarantined[q.Part], until)
			}
		}
	}
	g.merged.Store(next)
}

// answeredParts returns when parts and keys were last answered. g.mu must be held.
func (g *Guard) answeredParts() map[string]clock.Instant {
	out := make(map[string]clock.Instant)
	for key, o := range g.answers {
		if key.part != "" {
			out[key.part] = max(out[key.part], o.at)
		}
	}
	return out
}
