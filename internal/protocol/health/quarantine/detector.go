package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// Detector collects the evidence of all entries and decides which parts are in
// quarantine. It is safe for concurrent use.
type Detector struct {
	clock clock.Clock
	log   hclog.Logger

	mu sync.Mutex // guards the fields below
	// crashes holds the engines that ended, by incarnation.
	crashes map[string]*crash
	// byKey holds, by key of a request, the newest crashes with a candidate that has it, and
	// repeated the keys that have at least suspectedCrashes.
	byKey    map[string][]*crash
	repeated map[string]bool
	// answered is when a part of a crash, or one in quarantine, was last answered.
	answered map[string]clock.Instant
	// answers is when a service answered requests: the ends of the answerSlots with an
	// answer, in order.
	answers map[string][]clock.Instant
	// suspected is since when a part has been suspected.
	suspected map[string]clock.Instant
	// inCrashes is in how many separate crashes a suspected part is.
	inCrashes map[string]float64
	// quarantined is until when a part is in quarantine.
	quarantined map[string]clock.Instant
	// generation counts the changes of the lists.
	generation uint64
	// recorded counts the candidates that were added.
	recorded uint64
	// pending is set if there is evidence that evaluate has not seen, and evaluatedAt is
	// when it last ran.
	pending     bool
	evaluatedAt clock.Instant
	// logged is what was logged of crashes, by service.
	logged map[string]crashLog
}

// NewDetector returns a detector without evidence.
func NewDetector(c clock.Clock, log hclog.Logger) *Detector {
	return &Detector{
		clock:       c,
		log:         log,
		crashes:     make(map[string]*crash),
		byKey:       make(map[string][]*crash),
		repeated:    make(map[string]bool),
		answered:    make(map[string]clock.Instant),
		answers:     make(map[string][]clock.Instant),
		suspected:   make(map[string]clock.Instant),
		quarantined: make(map[string]clock.Instant),
		logged:      make(map[string]crashLog),
	}
}

// Release ends the quarantine of a part by an operator's decision and reports
// whether it was in quarantine. Crashes so far no longer count against it.
func (d *Detector) Release(part string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.quarantined[part]; !ok {
		return false
	}
	delete(d.quarantined, part)
	d.answered[part] = d.clock.Now()
	d.generation++
	d.log.Warn(describe(part)+" released from quarantine", "part", part, "reason", "an operator released it")
	return true
}

// Advance evaluates new evidence. While parts are suspected, and once in
// expiryInterval, it evaluates the known evidence again, since time has passed.
func (d *Detector) Advance() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if d.pending || len(d.suspected) > 0 || now.Sub(d.evaluatedAt) >= expiryInterval {
		d.pending, d.evaluatedAt = false, now
		d.evaluate(now)
	}
}

// describe names what a key stands for in logs.
func describe(key string) string {
	if isRequestKey(key) {
		return "request"
	}
	return "prompt part"
}

// countKind returns how many keys of a map are of the same kind as key: parts or
// requests.
func countKind(keys map[string]clock.Instant, key string) (n int) {
	for other := range keys {
		if isRequestKey(other) == isRequestKey(key) {
			n++
		}
	}
	return n
}

// evaluate drops what has expired, puts requests in quarantine, updates what is
// suspected and puts parts in quarantine, one at a time: crashes that it explains no
// longer count for others.
func (d *Detector) evaluate(now clock.Instant) {
	d.expire(now)
	requests := d.requestScores()
	d.quarantineRequests(requests, now)
	for {
		scores := d.scores(now)
		d.updateSuspected(scores, requests, now)
		part, ok := d.nextToQuarantine(scores, now)
		if !ok {
			d.logCrashes(scores, now)
			return
		}
		d.log.Warn("prompt part in quarantine", append(d.describeScore(part, scores[part]), "suspected", len(d.suspected), "left", Duration)...)
		d.quarantined[part] = now.Add(Duration)
		delete(d.suspected, part)
		d.generation++
	}
}

func (d *Detector) expire(now clock.Instant) {
	for engine, c := range d.crashes {
		if now.Sub(c.at) > evidenceRetention {
			d.dropCrash(engine)
		}
	}
	for service, held := range d.answers {
		outdated, _ := slices.BinarySearch(held, now.Add(-evidenceRetention))
		d.answers[service] = slices.Delete(held, 0, outdated)
		if !d.knows(service) {
			delete(d.answers, service)
		}
	}
	maps.DeleteFunc(d.answered, func(part string, at clock.Instant) bool {
		return now.Sub(at) > Duration && !d.inCrash(part)
	})
	maps.DeleteFunc(d.quarantined, func(part string, until clock.Instant) bool {
		expired := now >= until
		if expired {
			d.generation++
			d.log.Info(describe(part)+" released from quarantine", "part", part, "reason", "its time is over")
		}
		return expired
	})
}

// updateSuspected replaces the suspected parts and keys. Among more parts than entries
// are asked about, those count that are in most crashes.
func (d *Detector) updateSuspected(scores map[string]score, requests map[string]requestScore, now clock.Instant) {
	parts := slices.SortedFunc(maps.Keys(scores), func(a, b string) int {
		_, askedA := d.suspected[a]
		_, askedB := d.suspected[b]
		return cmp.Or(scores[b].compare(scores[a]), compareBool(askedB, askedA), strings.Compare(a, b))
	})
	parts = parts[:min(len(parts), maxSuspected)]
	wanted := make(map[string]bool, len(parts))
	for _, part := range parts {
		wanted[part] = true
	}
	d.inCrashes = make(map[string]float64, len(parts))
	for _, part := range parts {
		d.inCrashes[part] = scores[part].with.discounted
	}
	for part := range d.suspected {
		if !wanted[part] && !requests[part].isSuspected() {
			delete(d.suspected, part)
			d.generation++
		}
	}
	for _, part := range parts {
		if _, ok := d.suspected[part]; !ok {
			d.suspected[part] = now
			d.generation++
		}
	}
	for key, c := range requests {
		if _, ok := d.suspected[key]; !ok && c.isSuspected() && countKind(d.suspected, key) < maxSuspected {
			d.suspected[key] = now
			d.generation++
		}
	}
}

// nextToQuarantine returns the part to put in quarantine next: of those for which all
// is known, one in the most crashes, and of several that are in about as many the
// deepest, which fewest requests share.
func (d *Detector) nextToQuarantine(scores map[string]score, now clock.Instant) (best string, ok bool) {
	var ready []string
	most := 0.0
	for part := range d.suspected {
		c, scored := scores[part]
		if scored && len(d.lacks(part, c, now)) == 0 {
			ready = append(ready, part)
			most = max(most, c.with.discounted)
		}
	}
	for _, part := range ready {
		if scores[part].with.discounted > most-clearlyMore && (!ok || scores[part].precedes(scores[best], part, best)) {
			best, ok = part, true
		}
	}
	return best, ok
}

// Generation changes whenever the lists do.
func (d *Detector) Generation() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.generation
}

// PartLists returns the current lists and their generation.
func (d *Detector) PartLists() (PartLists, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	out := PartLists{Suspected: slices.Sorted(maps.Keys(d.suspected))}
	for part, until := range d.quarantined {
		out.Quarantined = append(out.Quarantined, Quarantined{Part: part, Left: until.Sub(now)})
	}
	slices.SortFunc(out.Quarantined, func(a, b Quarantined) int { return strings.Compare(a.Part, b.Part) })
	return out, d.generation
}
