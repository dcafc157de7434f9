package origin

import (
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// Change is a version that is listed for the first time within Retention, or no
// longer.
type Change struct {
	Version
	Listed bool
	// Others is the number of other versions of the service listed within Retention.
	Others int
}

// history holds which versions of each service were listed, and until when. It is
// not safe for concurrent use.
type history struct {
	clock clock.Clock
	// since is the time of the first list; known is set once there was one.
	since clock.Instant
	known bool
	// services holds the versions of each service that were listed within Retention.
	services map[string]map[string]presence
	// coveredSince holds the services for which the first list, or what was saved
	// before a restart, is evidence of the time before it.
	coveredSince map[string]clock.Instant
	// complete is set if nothing was listed to anyone before the first list.
	complete bool
}

// presence is when a version was listed.
type presence struct {
	// listed is set while the newest list has the version, and last is the time of
	// the first list without it.
	listed bool
	last   clock.Instant
}

func newHistory(c clock.Clock) *history {
	return &history{clock: c, services: make(map[string]map[string]presence), coveredSince: make(map[string]clock.Instant)}
}

// setEngines applies a list and returns what changed.
func (h *history) setEngines(engines []fleet.Engine) []Change {
	now := h.clock.Now()
	if !h.known {
		h.since, h.known = now, true
		for service, since := range coverageByStarts(engines, now, h.clock.Wall()) {
			h.cover(service, since)
		}
	}
	listed := make(map[Version]bool)
	for _, e := range engines {
		listed[Version{Service: e.Service, Version: e.Version}] = true
	}
	changes := h.drop(listed, now)
	for v := range listed {
		versions := h.services[v.Service]
		if versions == nil {
			versions = make(map[string]presence)
			h.services[v.Service] = versions
		}
		if !versions[v.Version].listed {
			versions[v.Version] = presence{listed: true}
			changes = append(changes, Change{Version: v, Listed: true, Others: len(versions) - 1})
		}
	}
	return changes
}

// drop marks the versions that aren't listed and forgets those not listed for
// Retention.
func (h *history) drop(listed map[Version]bool, now clock.Instant) (changes []Change) {
	for service, versions := range h.services {
		for version, p := range versions {
			v := Version{Service: service, Version: version}
			switch {
			case listed[v]:
			case p.listed:
				versions[version] = presence{last: now}
				changes = append(changes, Change{Version: v, Others: len(versions) - 1})
			case now.Sub(p.last) >= Retention:
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(h.services, service)
		}
	}
	return changes
}

// recent returns the versions of a service that were listed within Retention, in
// order.
func (h *history) recent(service string) []string {
	now := h.clock.Now()
	var out []string
	for version, p := range h.services[service] {
		if p.listed || now.Sub(p.last) < Retention {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}

// allRecent returns the versions of all services that were listed within Retention.
func (h *history) allRecent() (out []Version) {
	for service := range h.services {
		for _, version := range h.recent(service) {
			out = append(out, Version{Service: service, Version: version})
		}
	}
	return out
}

// restore adds versions that were listed before a restart, as if they had been
// listed until now, and the services whose versions are known completely.
func (h *history) restore(listed []Version, covered []string) {
	now := h.clock.Now()
	for _, service := range covered {
		h.cover(service, now.Add(-Retention))
	}
	for _, v := range listed {
		if h.services[v.Service] == nil {
			h.services[v.Service] = make(map[string]presence)
		}
		if !h.services[v.Service][v.Version].listed {
			h.services[v.Service][v.Version] = presence{last: now}
		}
	}
}

// cover notes that the versions of a service are known since the given time.
func (h *history) cover(service string, since clock.Instant) {
	if held, covered := h.coveredSince[service]; !covered || since.Before(held) {
		h.coveredSince[service] = since
	}
}

// allCovered returns the services whose versions are known completely.
func (h *history) allCovered() (out []string) {
	for service := range h.services {
		if h.covered(service) {
			out = append(out, service)
		}
	}
	return out
}

// covered reports whether the versions listed within Retention are known
// completely.
func (h *history) covered(service string) bool {
	if !h.known {
		return false
	}
	if h.complete {
		return true
	}
	since, earlier := h.coveredSince[service]
	if !earlier || h.since.Before(since) {
		since = h.since
	}
	return h.clock.Now().Sub(since) >= Retention
}

// watched reports whether lists have been seen for Retention, or since the system's first
// start.
func (h *history) watched() bool {
	return h.known && (h.complete || h.clock.Now().Sub(h.since) >= Retention)
}

// coverageByStarts returns, for each service whose listed servers have one version
// and a known start, since when no other version can have served: a new version's
// servers start before those of the old one leave, so the newest start bounds the
// last change of the version.
func coverageByStarts(engines []fleet.Engine, now clock.Instant, wall time.Time) map[string]clock.Instant {
	versions := make(map[string]string)
	newest := make(map[string]int64)
	unknown := make(map[string]bool)
	for _, e := range engines {
		version, seen := versions[e.Service]
		if seen && version != e.Version || e.StartedMs <= 0 {
			unknown[e.Service] = true
		}
		versions[e.Service] = e.Version
		newest[e.Service] = max(newest[e.Service], e.StartedMs)
	}
	out := make(map[string]clock.Instant)
	for service, startedMs := range newest {
		age := wall.Sub(time.UnixMilli(startedMs)) - startMargin
		if !unknown[service] && age > 0 {
			out[service] = now.Add(-min(age, Retention))
		}
	}
	return out
}
