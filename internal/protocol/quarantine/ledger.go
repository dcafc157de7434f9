package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// Ledger collects the evidence of all entries and decides which parts are in
// quarantine. It is safe for concurrent use.
type Ledger struct {
	clock clock.Clock
	log   hclog.Logger

	mu sync.Mutex // guards the fields below
	// crashes holds the engines that ended, by incarnation.
	crashes map[string]*crash
	// answered is when a part of a crash, or one in quarantine, was last answered.
	answered map[string]clock.Instant
	// answers is when a service last answered a request without accused parts.
	answers map[string]clock.Instant
	// accused is since when a part has been accused.
	accused map[string]clock.Instant
	// quarantined is until when a part is in quarantine.
	quarantined map[string]clock.Instant
	// generation counts the changes of the verdicts.
	generation uint64
	// unjudged is set if there is evidence that judge has not seen, and judged is
	// when it last ran.
	unjudged bool
	judged   clock.Instant
}

// crash is the end of one incarnation of an engine.
type crash struct {
	service string
	at      clock.Instant
	// requests holds those that waited for their first event, by ID.
	requests map[string]suspect
}

// suspect is a request that may have ended an engine.
type suspect struct {
	// begun is set if the engine had begun to answer.
	begun bool
	parts []string
}

// weight is how much the crash speaks for a part: for one that all suspects share
// as much as a crash can.
type weight struct {
	// total counts all suspects with the part, and deepest those of which it is the
	// last shared part.
	total, deepest float64
	// depth is the largest position of the part in a suspect's prompt.
	depth int
	// begun is set if the engine had begun to answer the suspects.
	begun bool
}

// weights returns the weight for each part of the suspects: the requests that the
// engine had begun to answer or, without any, those that waited.
func (c *crash) weights() map[string]weight {
	suspects, unit := slices.Collect(maps.Values(c.requests)), waitingWeight
	begun := slices.DeleteFunc(slices.Clone(suspects), func(s suspect) bool { return !s.begun })
	if len(begun) > 0 {
		suspects, unit = begun, 1
	}
	unit /= float64(len(suspects))
	out := make(map[string]weight)
	for _, s := range suspects {
		for depth, part := range s.parts {
			w := out[part]
			w.begun = s.begun
			w.total += unit
			if depth == len(s.parts)-1 {
				w.deepest += unit
			}
			w.depth = max(w.depth, depth)
			out[part] = w
		}
	}
	return out
}

// NewLedger returns a ledger without evidence.
func NewLedger(c clock.Clock, log hclog.Logger) *Ledger {
	return &Ledger{
		clock:       c,
		log:         log,
		crashes:     make(map[string]*crash),
		answered:    make(map[string]clock.Instant),
		answers:     make(map[string]clock.Instant),
		accused:     make(map[string]clock.Instant),
		quarantined: make(map[string]clock.Instant),
	}
}

// Record adds evidence for the next call of Advance. Repeated evidence changes
// nothing.
func (l *Ledger) Record(evidence []Evidence) {
	if len(evidence) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, e := range evidence {
		at := now.Add(-e.Age)
		switch e.Kind {
		case Crash:
			l.recordCrash(e, at)
		case Answered:
			l.recordAnswer(e, at)
		case Verdict:
			for _, part := range e.Parts {
				l.adopt(part, now.Add(min(e.Left, Duration)))
			}
		}
	}
	l.unjudged = true
}

func (l *Ledger) recordCrash(e Evidence, at clock.Instant) {
	held := l.crashes[e.Engine]
	if held == nil {
		if len(l.crashes) >= maxCrashes {
			l.dropOldestCrash()
		}
		held = &crash{service: e.Service, at: at, requests: make(map[string]suspect)}
		l.crashes[e.Engine] = held
	}
	held.at = min(held.at, at)
	if len(held.requests) < maxSuspects {
		held.requests[e.Request] = suspect{begun: e.Begun, parts: e.Parts}
	}
}

func (l *Ledger) dropOldestCrash() {
	oldest := ""
	for engine, c := range l.crashes {
		if oldest == "" || c.at < l.crashes[oldest].at {
			oldest = engine
		}
	}
	delete(l.crashes, oldest)
}

// recordAnswer clears parts of all crashes up to the answer and ends their
// quarantine.
func (l *Ledger) recordAnswer(e Evidence, at clock.Instant) {
	if len(e.Parts) == 0 && l.answers[e.Service] < at && l.knows(e.Service) {
		l.answers[e.Service] = at
	}
	for _, part := range e.Parts {
		until, quarantined := l.quarantined[part]
		if quarantined && at >= until.Add(-Duration) {
			delete(l.quarantined, part)
			l.generation++
			l.log.Warn("prompt part released from quarantine", "part", part, "reason", "an engine answered it")
		}
		if quarantined || l.suspected(part) {
			l.answered[part] = max(l.answered[part], at)
		}
	}
}

// knows reports whether an engine of the service ended, which bounds answers.
func (l *Ledger) knows(service string) bool {
	for _, c := range l.crashes {
		if c.service == service {
			return true
		}
	}
	return false
}

// suspected reports whether a suspect of a crash that still counts has the part.
func (l *Ledger) suspected(part string) bool {
	for _, c := range l.crashes {
		for _, s := range c.requests {
			if slices.Contains(s.parts, part) {
				return true
			}
		}
	}
	return false
}

// adopt takes over a quarantine that another replica has imposed, unless the part
// was answered since.
func (l *Ledger) adopt(part string, until clock.Instant) {
	if l.answered[part] != 0 && l.answered[part] >= until.Add(-Duration) {
		return
	}
	held, known := l.quarantined[part]
	// An entry reports what is left with a delay: only a clearly later end is news.
	if known && until <= held.Add(time.Second) || !known && len(l.quarantined) >= maxQuarantined {
		return
	}
	l.quarantined[part] = until
	l.generation++
	l.log.Info("prompt part in quarantine", "part", part, "source", "an entry or the file", "left", until.Sub(l.clock.Now()))
}

// Release ends the quarantine of a part by an operator's decision and reports
// whether it was in quarantine. Crashes so far no longer count against it.
func (l *Ledger) Release(part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.quarantined[part]; !ok {
		return false
	}
	delete(l.quarantined, part)
	l.answered[part] = l.clock.Now()
	l.generation++
	l.log.Warn("prompt part released from quarantine", "part", part, "reason", "an operator released it")
	return true
}

// Advance judges new evidence. While parts are accused, and once in
// expiryInterval, it judges the known evidence again, since time has passed.
func (l *Ledger) Advance() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.unjudged || len(l.accused) > 0 || now.Sub(l.judged) >= expiryInterval {
		l.unjudged, l.judged = false, now
		l.judge(now)
	}
}

// judge drops what has expired, updates the accused parts and puts parts in
// quarantine, one at a time: crashes that it explains no longer count for others.
func (l *Ledger) judge(now clock.Instant) {
	l.expire(now)
	for {
		charges := l.charges(now)
		l.accuse(charges, now)
		part, ok := l.nextCulprit(charges, now)
		if !ok {
			return
		}
		l.quarantined[part] = now.Add(Duration)
		delete(l.accused, part)
		l.generation++
		l.log.Warn("prompt part in quarantine", "part", part, "crashes", charges[part].crashes, "weight", charges[part].weight, "accused", len(l.accused), "left", Duration)
	}
}

func (l *Ledger) expire(now clock.Instant) {
	maps.DeleteFunc(l.crashes, func(_ string, c *crash) bool { return now.Sub(c.at) > evidenceRetention })
	maps.DeleteFunc(l.answers, func(service string, _ clock.Instant) bool { return !l.knows(service) })
	maps.DeleteFunc(l.answered, func(part string, at clock.Instant) bool {
		return now.Sub(at) > evidenceRetention && !l.suspected(part)
	})
	maps.DeleteFunc(l.quarantined, func(part string, until clock.Instant) bool {
		expired := now >= until
		if expired {
			l.generation++
			l.log.Info("prompt part released from quarantine", "part", part, "reason", "its time is over")
		}
		return expired
	})
}

// charge is what separate crashes together say of a part.
type charge struct {
	weight, deepest float64
	crashes         int
	// begun is set if an engine had begun to answer a request with the part.
	begun   bool
	depth   int
	newest  clock.Instant
	service string
}

// accuses reports whether entries are asked about the part.
func (c charge) accuses() bool {
	return c.begun || c.weight >= accusedWeight
}

// convicts reports whether the crashes suffice for a quarantine.
func (c charge) convicts() bool {
	// The sums of thirds fall short of a whole number by rounding.
	const rounding = 1e-9
	return c.deepest >= deepThreshold-rounding || c.weight >= shallowThreshold-rounding
}

// add returns the charge with a further crash. The crash has no weight while
// evidence may still arrive, nor shortly after another one.
func (c charge) add(k *crash, w weight, now clock.Instant) charge {
	c.service, c.depth = k.service, max(c.depth, w.depth)
	c.begun = c.begun || w.begun
	if now.Sub(k.at) < settlePeriod || c.crashes > 0 && k.at.Sub(c.newest) < crashSpacing {
		return c
	}
	c.crashes, c.newest = c.crashes+1, k.at
	c.weight += w.total
	c.deepest += w.deepest
	return c
}

// charges returns, by part, what the crashes say that no part in quarantine
// explains and after which the part was not answered.
func (l *Ledger) charges(now clock.Instant) map[string]charge {
	ordered := slices.SortedFunc(maps.Values(l.crashes), func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
	out := make(map[string]charge)
	for _, c := range ordered {
		weights := c.weights()
		if l.explains(weights) {
			continue
		}
		for part, w := range weights {
			if answered, ok := l.answered[part]; !ok || c.at > answered {
				out[part] = out[part].add(c, w, now)
			}
		}
	}
	return out
}

// explains reports whether one of the suspected parts is in quarantine.
func (l *Ledger) explains(weights map[string]weight) bool {
	for part := range weights {
		if _, ok := l.quarantined[part]; ok {
			return true
		}
	}
	return false
}

// accuse replaces the accused parts by those that are charged enough.
func (l *Ledger) accuse(charges map[string]charge, now clock.Instant) {
	for part := range l.accused {
		if !charges[part].accuses() {
			delete(l.accused, part)
			l.generation++
		}
	}
	for part, c := range charges {
		if _, ok := l.accused[part]; !ok && c.accuses() && len(l.accused) < maxAccused {
			l.accused[part] = now
			l.generation++
		}
	}
}

// nextCulprit returns the part to put in quarantine next: one that is charged
// enough, to which no entry has objected in time although its service answered
// other requests meanwhile.
func (l *Ledger) nextCulprit(charges map[string]charge, now clock.Instant) (best string, ok bool) {
	if len(l.quarantined) >= maxQuarantined {
		return "", false
	}
	for part, since := range l.accused {
		c := charges[part]
		if !c.convicts() || now.Sub(since) < objectionPeriod || l.answers[c.service] < since {
			continue
		}
		if !ok || c.precedes(charges[best], part, best) {
			best, ok = part, true
		}
	}
	return best, ok
}

// precedes reports whether a part with this charge is taken before another one:
// fewer requests share a deeper part, and if that is not the cause, further
// crashes count for the other one.
func (c charge) precedes(other charge, part, otherPart string) bool {
	return cmp.Or(cmp.Compare(c.depth, other.depth), cmp.Compare(c.weight, other.weight), strings.Compare(part, otherPart)) > 0
}

// Generation changes whenever the verdicts do.
func (l *Ledger) Generation() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generation
}

// Verdicts returns the current verdicts and their generation.
func (l *Ledger) Verdicts() (Verdicts, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	out := Verdicts{Accused: slices.Sorted(maps.Keys(l.accused))}
	for part, until := range l.quarantined {
		out.Quarantined = append(out.Quarantined, Quarantined{Part: part, Left: until.Sub(now)})
	}
	slices.SortFunc(out.Quarantined, func(a, b Quarantined) int { return strings.Compare(a.Part, b.Part) })
	return out, l.generation
}
