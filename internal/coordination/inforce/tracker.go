// Package inforce tracks when an accepted settings change is in force
// everywhere, that is, when no entry process can take work on older settings:
// either every entry that may hold a settings lease has acknowledged the
// change, or every lease that was granted for older settings has expired.
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

// DriftMargin is added to a lease duration that is measured on the clock of
// another VM than the holder's, to allow for clock drift.
const DriftMargin = 100 * time.Millisecond

// Options configures a Tracker.
type Options struct {
	Clock clock.Clock
	// Lease is the duration of a settings lease.
	Lease time.Duration
}

// leaseHolder identifies one incarnation of an entry.
type leaseHolder struct {
	name        string
	incarnation uint64
}

// renewal describes the renewals of one holder that this replica received.
type renewal struct {
	// at is when the last renewal was received.
	at clock.Instant
	// version is the highest settings version that the holder had in force.
	version uint64
}

// appliedVersion records when this replica was first seen to have applied a
// settings version.
type appliedVersion struct {
	version uint64
	at      clock.Instant
}

// Tracker records lease renewals and applied settings on one control replica.
// It is safe for concurrent use.
type Tracker struct {
	options Options
	// leasePeriod is the time after which a lease granted for older settings
	// has expired: the lease duration plus DriftMargin.
	leasePeriod time.Duration

	mu sync.Mutex // guards the fields below
	// started is when the tracker began to receive renewals.
	started  clock.Instant
	renewals map[leaseHolder]renewal
	// versions holds the newest applied version and those applied within the
	// last leasePeriod, in ascending order.
	versions []appliedVersion
	// settledVersion is the highest version removed from versions: every lease
	// granted for older settings has expired.
	settledVersion uint64
	members        map[string]member.Member
	// retired holds the time at which each holder was seen to have left the
	// member table.
	retired map[leaseHolder]clock.Instant
}

// New returns a tracker without any records.
func New(o Options) *Tracker {
	return &Tracker{
		options:     o,
		leasePeriod: o.Lease + DriftMargin,
		started:     o.Clock.Now(),
		renewals:    make(map[leaseHolder]renewal),
		retired:     make(map[leaseHolder]clock.Instant),
	}
}

// Renewed records a renewal that this replica answers.
func (t *Tracker) Renewed(name string, incarnation, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := leaseHolder{name: name, incarnation: incarnation}
	t.renewals[h] = renewal{at: t.options.Clock.Now(), version: max(version, t.renewals[h].version)}
}

// Applied records the settings version and the members that this replica has
// applied. A late call only delays when the tracker reports a version in force.
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

// prune removes the records that are older than leasePeriod and no longer
// needed. The caller holds mu.
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

// Report describes how far a settings version has taken effect.
type Report struct {
	Version uint64 `json:"version"`
	// InForce reports whether no entry can take work on older settings any
	// more.
	InForce bool `json:"in_force"`
	// Acknowledged lists the entries that have the version in force.
	Acknowledged []string `json:"acknowledged"`
	// Waiting lists the entries that may still hold a lease granted for older
	// settings.
	Waiting []string `json:"waiting,omitempty"`
	// Lapsed lists the entries that did not acknowledge the version within a
	// lease duration: they hold no lease for older settings and can get none.
	Lapsed []string `json:"lapsed,omitempty"`
}

// Report returns how far a settings version has taken effect.
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

// hasApplied reports whether this replica has applied the version. The caller
// holds mu.
func (t *Tracker) hasApplied(version uint64) bool {
	return len(t.versions) > 0 && t.versions[len(t.versions)-1].version >= version
}

// leasesEnded reports whether more than leasePeriod has passed since this
// replica applied the version, so that every lease granted for older settings
// has expired. The caller holds mu.
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

// knowsAllHolders reports whether the tracker has been running for longer than
// leasePeriod and therefore knows every holder of a lease.
func (t *Tracker) knowsAllHolders(now clock.Instant) bool {
	return now.Sub(t.started) > t.leasePeriod
}

// holders returns every entry incarnation that may hold a lease, ordered by
// name: the members and those that renewed or were members within the last
// leasePeriod. The caller holds mu.
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

// Seen returns when this replica last received a renewal of a member, and the
// highest settings version that the member had in force; ok is false if the
// replica has no record of a renewal.
func (t *Tracker) Seen(name string, incarnation uint64) (at clock.Instant, version uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.renewals[leaseHolder{name: name, incarnation: incarnation}]
	return r.at, r.version, ok
}
