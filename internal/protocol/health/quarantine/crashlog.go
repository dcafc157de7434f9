package quarantine

import (
	"cmp"
	"maps"
	"strings"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// crashLogInterval is the minimum time between two log entries on the crashes of one
// service.
const crashLogInterval = time.Second

// crashLog is what was logged of the crashes of a service.
type crashLog struct {
	// at is when the last entry was written, and upTo the newest crash that it covers.
	at, upTo clock.Instant
}

// logCrashes logs, for each service with new settled crashes, the newest of them and
// the part that is nearest to a quarantine.
func (d *Detector) logCrashes(scores map[string]score, now clock.Instant) {
	maps.DeleteFunc(d.logged, func(service string, _ crashLog) bool { return !d.knows(service) })
	newest, count := make(map[string]*crash), make(map[string]int)
	for _, c := range d.crashes {
		if now.Sub(c.at) < settlePeriod || c.at <= d.logged[c.service].upTo {
			continue
		}
		count[c.service]++
		if held := newest[c.service]; held == nil || held.at < c.at {
			newest[c.service] = c
		}
	}
	for service, c := range newest {
		if last, ok := d.logged[service]; ok && now.Sub(last.at) < crashLogInterval {
			continue
		}
		d.logged[service] = crashLog{at: now, upTo: c.at}
		begun := 0
		for _, s := range c.requests {
			if s.begun {
				begun++
			}
		}
		fields := []any{
			"service", service, "engine", c.engine, "age_ms", now.Sub(c.at).Milliseconds(), "ended", count[service],
			"candidates", len(c.requests), "begun", begun, "suspected", len(d.suspected),
		}
		if part, lead, ok := leader(scores, service); ok {
			fields = append(fields, d.describeScore(part, lead)...)
			fields = append(fields, "lacks", strings.Join(d.lacks(part, lead, now), ", "))
		}
		d.log.Info("servers ended", fields...)
	}
}

// leader returns the part for which the crashes of a service speak most.
func leader(scores map[string]score, service string) (part string, lead score, ok bool) {
	for candidate, c := range scores {
		if c.service == service && (!ok || cmp.Or(c.compare(lead), cmp.Compare(c.depth, lead.depth), strings.Compare(candidate, part)) > 0) {
			part, lead, ok = candidate, c, true
		}
	}
	return part, lead, ok
}

// describeScore returns the fields of a log entry on a part.
func (d *Detector) describeScore(part string, c score) []any {
	return []any{
		"part", part, "crashes", c.with.discounted, "of_crashes", c.all.discounted, "weight", c.weight, "surprise", c.surprise(d.answersTo(part, c)),
		"regularity", c.regularity, "answers", d.answersTo(part, c), "requests", c.with.candidates, "of_requests", c.all.candidates, "depth", c.depth,
	}
}

// answersTo returns in how many slots the service has answered other requests since
// entries were asked about the part.
func (d *Detector) answersTo(part string, c score) int {
	since, suspected := d.suspected[part]
	if !suspected {
		return 0
	}
	return d.answersSince(c.service, since.Add(askDelay))
}

// lacks names what is missing for the quarantine of a part; nothing if it can be
// imposed now.
func (d *Detector) lacks(part string, c score, now clock.Instant) (missing []string) {
	add := func(lacking bool, what string) {
		if lacking {
			missing = append(missing, what)
		}
	}
	since, suspected := d.suspected[part]
	add(!c.requests.several && !c.candidates.several, "another request")
	add(!c.weighsEnough() && !c.isInEnough() && !c.regular, "crashes")
	add(!suspected || now.Sub(since) < answerPeriod, "time")
	add(!suspected || d.answersSince(c.service, c.first) == 0 || c.surprise(d.answersTo(part, c)) < c.neededSurprise(), "answers of the service")
	add(countKind(d.quarantined, part) >= maxQuarantined, "room")
	return missing
}
