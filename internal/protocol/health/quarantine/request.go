package quarantine

import (
	"slices"
	"strings"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// requestScore is what crashes say of a request or of a content.
type requestScore struct {
	crashes int
	callers distinct
	// service had the crashes, the first of them at the given time.
	service string
	first   clock.Instant
}

// requestScores returns, by repeated key that is not in quarantine, the crashes that no part in quarantine
// explains and after which no request with the key was answered.
func (d *Detector) requestScores() map[string]requestScore {
	out := make(map[string]requestScore, len(d.repeated))
	explained := make(map[*crash]bool)
	for key := range d.repeated {
		if _, ok := d.quarantined[key]; ok {
			continue
		}
		score := requestScore{}
		for _, c := range d.byKey[key] {
			if _, evaluated := explained[c]; !evaluated {
				explained[c] = d.explains(c.weights())
			}
			if answered, ok := d.answered[key]; explained[c] || ok && c.at <= answered {
				continue
			}
			score.crashes++
			if score.crashes == 1 || c.at < score.first {
				score.service, score.first = c.service, c.at
			}
			for _, s := range c.requests {
				if slices.Contains(s.keys, key) {
					score.callers = score.callers.add(s.fingerprint.Caller)
				}
			}
		}
		out[key] = score
	}
	return out
}

// quarantineRequests puts requests in quarantine that have ended enough servers, and
// contents that have done so for several callers. A service that has answered nothing since
// the first crash is down, and its requests are not the cause.
func (d *Detector) quarantineRequests(scores map[string]requestScore, now clock.Instant) {
	for key, c := range scores {
		sameCaller := strings.HasPrefix(key, contentPrefix) && !c.callers.several
		if sameCaller || c.crashes < requestThreshold || d.answersSince(c.service, c.first) == 0 || countKind(d.quarantined, key) >= maxQuarantined {
			continue
		}
		d.quarantined[key] = now.Add(Duration)
		d.generation++
		d.log.Warn("request in quarantine", "part", key, "crashes", c.crashes, "several_callers", c.callers.several, "left", Duration)
	}
}

// isSuspected reports whether entries are asked about the request.
func (c requestScore) isSuspected() bool {
	return c.crashes >= suspectedCrashes
}
