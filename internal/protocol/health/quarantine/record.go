package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// Record adds evidence for the next call of Advance. Repeated evidence changes
// nothing.
func (d *Detector) Record(evidence []Evidence) {
	if len(evidence) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, e := range evidence {
		at := now.Add(-e.Age)
		switch e.Kind {
		case Crash:
			d.recordCrash(e, at, now)
		case Answered:
			d.recordAnswer(e, at)
		case InQuarantine:
			for _, part := range e.Parts {
				d.adopt(part, now.Add(min(e.Left, Duration)))
			}
		}
	}
	d.pending = true
}

func (d *Detector) recordCrash(e Evidence, at, now clock.Instant) {
	held := d.crashes[e.Engine]
	if held == nil {
		if len(d.crashes) >= maxCrashes {
			d.dropOldestCrash()
		}
		held = &crash{service: e.Service, engine: e.Engine, at: at, knownAt: now, requests: make(map[string]candidate)}
		d.crashes[e.Engine] = held
	}
	held.at = min(held.at, at)
	if e.Others > held.others {
		held.others = e.Others
		held.changed()
	}
	if _, known := held.requests[e.Request]; known {
		return
	}
	s := candidate{begun: e.Begun, fingerprint: e.Fingerprint, identity: cmp.Or(e.Fingerprint.String(), e.Request), parts: e.Parts, keys: e.Fingerprint.Keys()}
	if len(held.requests) >= maxCandidates {
		if held.isLeftOut(e.Request) {
			return
		}
		held.others = min(held.others+1, maxOthers)
		if !d.dropWaiting(held, s) {
			held.leaveOut(e.Request)
			return
		}
	}
	held.requests[e.Request] = s
	held.changed()
	d.recorded++
	for _, key := range s.keys {
		if !slices.Contains(d.byKey[key], held) {
			newest := d.byKey[key][max(0, len(d.byKey[key])-maxKeyCrashes+1):]
			d.byKey[key] = append(slices.Clone(newest), held)
		}
		if len(d.byKey[key]) >= suspectedCrashes {
			d.repeated[key] = true
		}
	}
}

// dropWaiting drops, of the candidates that the engine had not begun to answer, the one
// for which least speaks, and reports whether there was one that is worth less than the
// next one.
func (d *Detector) dropWaiting(c *crash, next candidate) bool {
	least, lowest := "", 0.0
	for request, s := range c.requests {
		if s.begun {
			continue
		}
		if v := d.value(s); least == "" || v < lowest || v == lowest && request < least {
			least, lowest = request, v
		}
	}
	if least == "" || !next.begun && d.value(next) <= lowest {
		return false
	}
	dropped := c.requests[least]
	delete(c.requests, least)
	c.leaveOut(least)
	c.changed()
	d.removeKeys(c, dropped)
	return true
}

// value returns in how many separate crashes the suspected parts of a candidate were
// when these were last evaluated.
func (d *Detector) value(s candidate) (sum float64) {
	for _, part := range s.parts {
		sum += d.inCrashes[part]
	}
	return sum
}

// removeKeys removes a crash from the keys of a candidate that it no longer has,
// unless another candidate has them too.
func (d *Detector) removeKeys(c *crash, s candidate) {
	for _, key := range s.keys {
		if c.hasKey(key) {
			continue
		}
		d.byKey[key] = slices.DeleteFunc(d.byKey[key], func(held *crash) bool { return held == c })
		if len(d.byKey[key]) < suspectedCrashes {
			delete(d.repeated, key)
		}
		if len(d.byKey[key]) == 0 {
			delete(d.byKey, key)
		}
	}
}

// dropCrash forgets the end of an incarnation.
func (d *Detector) dropCrash(engine string) {
	c := d.crashes[engine]
	delete(d.crashes, engine)
	requests := c.requests
	c.requests = nil
	for _, s := range requests {
		d.removeKeys(c, s)
	}
}

func (d *Detector) dropOldestCrash() {
	oldest := ""
	for engine, c := range d.crashes {
		if oldest == "" || c.at < d.crashes[oldest].at {
			oldest = engine
		}
	}
	d.dropCrash(oldest)
}

// recordAnswer clears parts of all crashes up to the answer and ends their
// quarantine.
func (d *Detector) recordAnswer(e Evidence, at clock.Instant) {
	if d.knows(e.Service) {
		d.addAnswer(e.Service, at)
	}
	for _, part := range e.Parts {
		until, quarantined := d.quarantined[part]
		if quarantined && at >= until.Add(-Duration) {
			delete(d.quarantined, part)
			d.generation++
			d.log.Warn(describe(part)+" released from quarantine", "part", part, "reason", "an engine answered it")
		}
		if quarantined || d.inCrash(part) {
			d.answered[part] = max(d.answered[part], at)
		}
	}
}

// addAnswer notes that a service has answered. Repeated reports count once.
func (d *Detector) addAnswer(service string, at clock.Instant) {
	slot := (at/clock.Instant(answerSlot) + 1) * clock.Instant(answerSlot)
	held := d.answers[service]
	if i, known := slices.BinarySearch(held, slot); !known {
		d.answers[service] = slices.Insert(held, i, slot)
	}
}

// answersSince returns the number of slots after an instant in which a service has
// answered.
func (d *Detector) answersSince(service string, since clock.Instant) int {
	held := d.answers[service]
	i, _ := slices.BinarySearch(held, since+clock.Instant(answerSlot))
	return len(held) - i
}

// knows reports whether an engine of the service ended, which bounds answers.
func (d *Detector) knows(service string) bool {
	for _, c := range d.crashes {
		if c.service == service {
			return true
		}
	}
	return false
}

// inCrash reports whether a candidate of a crash that still counts has the part or
// key.
func (d *Detector) inCrash(part string) bool {
	if isRequestKey(part) {
		return len(d.byKey[part]) > 0
	}
	for _, c := range d.crashes {
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
func (d *Detector) adopt(part string, until clock.Instant) {
	if d.answered[part] != 0 && d.answered[part] >= until.Add(-Duration) {
		return
	}
	held, known := d.quarantined[part]
	// An entry reports what is left with a delay: only a clearly later end is news.
	if known && until <= held.Add(time.Second) || !known && countKind(d.quarantined, part) >= maxQuarantined {
		return
	}
	d.quarantined[part] = until
	d.generation++
	d.log.Info(describe(part)+" in quarantine", "part", part, "source", "an entry or the file", "left", until.Sub(d.clock.Now()))
}
