// Package inforce tells when an accepted change is in force everywhere: when
// every entry that may hold a settings lease acknowledged it, or when every
// lease that was granted on older settings has ended.
package inforce

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
)

// DriftMargin is added to a lease duration when it is counted on another VM's
// clock.
const DriftMargin = 100 * time.Millisecond

// Options holds what a Tracker needs.
type Options struct {
	Clock clock.Clock
	// Lease is the length of a settings lease.
	Lease time.Duration
}

// holder identifies one run of an entry.
type leaseHolder struct {
	name        string
	incarnation uint64
}

// renewal is the newest renewal of a holder that this replica heard.
type renewal struct {
	at clock.Instant
	// version is the highest settings version that the holder had in force.
	version uint64
}

// applied notes when this replica first saw a settings version.
type appliedVersion struct {
	version uint64
	at      clock.Instant
}

// Tracker follows renewals and applied settings on one control replica. It is
// safe for concurrent use.
type Tracker struct {
	options Options
	// period is after which time a lease granted on older settings has ended.
	leasePeriod time.Duration

	mu sync.Mutex // guards the fields below
	// started is when the tracker began to hear renewals.
	started  clock.Instant
	renewals map[leaseHolder]renewal
	// versions is ordered; it holds what was applied within the last period.
	versions []appliedVersion
	// settled is the highest version that was applied longer than a period ago.
	settledVersion uint64
	members        map[string]member.Member
	// retired holds when a holder left the member table.
	retired map[leaseHolder]clock.Instant
}

// New returns a tracker that knows nothing yet.
func New(o Options) *Tracker {
	return &Tracker{
		options:     o,
		leasePeriod: o.Lease + DriftMargin,
		started:     o.Clock.Now(),
		renewals:    make(map[leaseHolder]renewal),
		retired:     make(map[leaseHolder]clock.Instant),
	}
}

// Renewed notes a renewal that this replica answers.
func (t *Tracker) Renewed(name string, incarnation, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := leaseHolder{name: name, incarnation: incarnation}
	t.renewals[h] = renewal{at: t.options.Clock.Now(), version: max(version, t.renewals[h].version)}
}

// Applied notes the settings version and the members that this replica has
// applied. Being called late only delays what the tracker reports.
func (t *Tracker) Applied(version uint64, members map[string]member.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	if last := len(t.versions) - 1; last < 0 || t.versions[last].version < version {
		t.versions = append(t.versions, appliedVersion{version: version, at: now})
	}
	for name, m := range t.members {
		if members[name].Incarnation != m.Incarnation {
			t.retired[leaseHolder{name: name, incarnation: m.Incarnation}] = now
		}
	}
	t.members = members
	t.prune(now)
}

// prune forgets what lies further back than a period. The caller holds mu.
func (t *Tracker) prune(now clock.Instant) {
	tooOld := func(at clock.Instant) bool { return now.Sub(at) > t.leasePeriod }
	for len(t.versions) > 1 && tooOld(t.versions[0].at) {
		t.settledVersion = t.versions[0].version
		t.versions = t.versions[1:]
	}
	maps.DeleteFunc(t.retired, func(_ leaseHolder, at clock.Instant) bool { return tooOld(at) })
	maps.DeleteFunc(t.renewals, func(h leaseHolder, r renewal) bool {
		return tooOld(r.at) && t.members[h.name].Incarnation != h.incarnation
	})
}

// Report tells how far a settings version is in force.
type Report struct {
	Version uint64 `json:"version"`
	// InForce is set when no entry can take work on older settings any more.
	InForce bool `json:"in_force"`
	// Acknowledged lists the entries that have the version in force.
	Acknowledged []string `json:"acknowledged"`
	// Waiting lists those that may still hold a lease on older settings.
	Waiting []string `json:"waiting,omitempty"`
	// Lapsed lists those that did not acknowledge the version within a lease
	// duration: they hold no lease on older settings, and get none.
	Lapsed []string `json:"lapsed,omitempty"`
}

// Report returns the state of a settings version.
func (t *Tracker) Report(version uint64) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	expired := t.leasesEnded(version, now)
	report := Report{Version: version, Acknowledged: []string{}}
	for _, h := range t.holders(now) {
		switch {
		case t.renewals[h].version >= version:
			report.Acknowledged = append(report.Acknowledged, h.name)
		case expired:
			report.Lapsed = append(report.Lapsed, h.name)
		default:
			report.Waiting = append(report.Waiting, h.name)
		}
	}
	report.InForce = expired || t.hasApplied(version) && t.knowsAllHolders(now) && len(report.Waiting) == 0
	return report
}

// reached reports whether this replica has applied the version.
func (t *Tracker) hasApplied(version uint64) bool {
	return len(t.versions) > 0 && t.versions[len(t.versions)-1].version >= version
}

// leasesEnded reports whether a period has passed since the version was
// applied here.
func (t *Tracker) leasesEnded(version uint64, now clock.Instant) bool {
	if version <= t.settledVersion {
		return true
	}
	for _, a := range t.versions {
		if a.version >= version {
			return now.Sub(a.at) > t.leasePeriod
		}
	}
	return false
}

// heardAll reports whether the tracker has been running for so long that it
// knows every holder of a lease.
func (t *Tracker) knowsAllHolders(now clock.Instant) bool {
	return now.Sub(t.started) > t.leasePeriod
}

// holders returns every run of an entry that may hold a lease, by name: the
// members and those that renewed or were members within the last period.
func (t *Tracker) holders(now clock.Instant) []leaseHolder {
	set := make(map[leaseHolder]bool)
	for name, m := range t.members {
		set[leaseHolder{name: name, incarnation: m.Incarnation}] = true
	}
	for h, r := range t.renewals {
		if now.Sub(r.at) <= t.leasePeriod {
			set[h] = true
		}
	}
	for h, at := range t.retired {
		if now.Sub(at) <= t.leasePeriod {
			set[h] = true
		}
	}
	return slices.SortedFunc(maps.Keys(set), func(a, b leaseHolder) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.incarnation, b.incarnation))
	})
}

// Seen tells when a member renewed last; ok is false if it never did.
func (t *Tracker) Seen(name string, incarnation uint64) (at clock.Instant, version uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.renewals[leaseHolder{name: name, incarnation: incarnation}]
	return r.at, r.version, ok
}
