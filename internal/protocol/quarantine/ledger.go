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
	// begun holds the IDs of the requests that the engine had begun to answer.
	begun map[string]struct{}
	// begunParts holds the parts of those requests.
	begunParts map[string]struct{}
	// depths holds the parts of the requests that waited for their first event,
	// with the part's position in its prompt.
	depths map[string]int
}

// certain reports whether a single request is the suspect and no further
// evidence is expected.
func (c *crash) certain(now clock.Instant) bool {
	return len(c.begun) == 1 && now.Sub(c.at) >= settlePeriod
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
		held = &crash{service: e.Service, at: at, begun: make(map[string]struct{}), begunParts: make(map[string]struct{}), depths: make(map[string]int)}
		l.crashes[e.Engine] = held
	}
	held.at = min(held.at, at)
	if e.Begun && len(held.begun) < maxCrashParts {
		held.begun[e.Request] = struct{}{}
	}
	for depth, part := range e.Parts {
		if len(held.depths) >= maxCrashParts {
			return
		}
		held.depths[part] = max(held.depths[part], depth)
		if e.Begun {
			held.begunParts[part] = struct{}{}
		}
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

// suspected reports whether a part occurs in a crash.
func (l *Ledger) suspected(part string) bool {
	for _, c := range l.crashes {
		if _, ok := c.depths[part]; ok {
			return true
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
// quarantine. Of several parts that explain the same crashes it takes the one
// deepest in the prompt: fewer requests share that one.
func (l *Ledger) judge(now clock.Instant) {
	l.expire(now)
	for {
		counts := l.counts(now)
		l.accuse(counts, now)
		part, ok := l.mostCrashes(counts, now)
		if !ok {
			return
		}
		l.quarantined[part] = now.Add(Duration)
		delete(l.accused, part)
		l.generation++
		l.log.Warn("prompt part in quarantine", "part", part, "crashes", counts[part].crashes, "accused", len(l.accused), "left", Duration)
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

// count is how many separate crashes a part explains.
type count struct {
	crashes int
	// certain counts the crashes for which a request with the part is the only
	// suspect, and begun is set if an engine had begun to answer one.
	certain int
	begun   bool
	depth   int
	newest  clock.Instant
	service string
}

// accused reports whether entries are asked about the part.
func (c count) accused() bool {
	return c.begun || c.crashes >= accusedThreshold
}

// convicting reports whether the crashes suffice for a quarantine.
func (c count) convicting() bool {
	return c.crashes >= crashThreshold || c.certain >= certainThreshold
}

// counts returns, by part, the crashes since the part was last answered that no
// part in quarantine explains.
func (l *Ledger) counts(now clock.Instant) map[string]count {
	ordered := slices.SortedFunc(maps.Values(l.crashes), func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
	out := make(map[string]count)
	for _, c := range ordered {
		if l.explained(c) {
			continue
		}
		for part, depth := range c.depths {
			if answered, ok := l.answered[part]; ok && c.at <= answered {
				continue
			}
			held, known := out[part]
			if !known || c.at.Sub(held.newest) >= crashSpacing {
				held.crashes, held.newest = held.crashes+1, c.at
				if _, begun := c.begunParts[part]; begun && c.certain(now) {
					held.certain++
				}
			}
			if _, begun := c.begunParts[part]; begun {
				held.begun = true
			}
			held.depth, held.service = max(held.depth, depth), c.service
			out[part] = held
		}
	}
	return out
}

// explained reports whether a crash has a part that is in quarantine.
func (l *Ledger) explained(c *crash) bool {
	for part := range c.depths {
		if _, ok := l.quarantined[part]; ok {
			return true
		}
	}
	return false
}

// accuse replaces the accused parts by those with enough crashes.
func (l *Ledger) accuse(counts map[string]count, now clock.Instant) {
	for part := range l.accused {
		if !counts[part].accused() {
			delete(l.accused, part)
			l.generation++
		}
	}
	for part, c := range counts {
		if _, ok := l.accused[part]; !ok && c.accused() && len(l.accused) < maxAccused {
			l.accused[part] = now
			l.generation++
		}
	}
}

// mostCrashes returns the part to put in quarantine next: one with enough
// crashes, to which no entry has objected in time although its service answered
// other requests meanwhile.
func (l *Ledger) mostCrashes(counts map[string]count, now clock.Instant) (best string, ok bool) {
	if len(l.quarantined) >= maxQuarantined {
		return "", false
	}
	for part, since := range l.accused {
		c := counts[part]
		if !c.convicting() || now.Sub(since) < objectionPeriod || l.answers[c.service] < since {
			continue
		}
		if !ok || c.exceeds(counts[best], part, best) {
			best, ok = part, true
		}
	}
	return best, ok
}

// exceeds reports whether a part with this count is more likely the cause than
// another one.
func (c count) exceeds(other count, part, otherPart string) bool {
	return cmp.Or(cmp.Compare(c.crashes, other.crashes), cmp.Compare(c.depth, other.depth), strings.Compare(part, otherPart)) > 0
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
