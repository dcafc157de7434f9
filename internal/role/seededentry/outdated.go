package seededentry

import (
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

// leaderSilence is the time without an update from a leader after which the document in
// force may be an old one: this entry may be connected only to replicas that are cut off
// from the others. A replica leads only while its lease lasts, which ends before another
// one can acknowledge a document. So an entry doubts its document a second after that at
// the latest; 2.5 s are allowed. Elections take less time.
const leaderSilence = time.Second

// leaderSettling is the time after the first update of a leader that was silent for
// leaderSilence in which the document may still be an old one: if this process was suspended, it
// reads at first what waited in its sockets. That takes it a few milliseconds.
const leaderSettling = 100 * time.Millisecond

// maxConfirmation bounds how long the first document with workspaces waits for the leader: an
// election takes 2 s at most. Serving keys that may have been removed is better than serving
// nothing while there is no leader.
const maxConfirmation = 2500 * time.Millisecond

// freshness records how new the entry's document is.
type freshness struct {
	// newestVersion is the highest document version that a control replica named.
	newestVersion atomic.Uint64
	// settledAt is the clock.Instant until which updates of a leader that was silent may be
	// old ones.
	settledAt atomic.Int64
	// firstAt is the clock.Instant at which the first document arrived, and confirmed is set
	// once it, or a later one, is confirmed.
	firstAt   atomic.Int64
	confirmed atomic.Bool
}

// Table returns the routes in force, or nil before the first document is confirmed.
func (a *Agent) Table() *route.Table {
	if table := a.table.Load(); table != nil && a.confirmed(table) {
		return table
	}
	return nil
}

// MayBeOutdated reports whether a newer document than the given version may be in force here or
// at others: a control replica named one, none is connected, or no leader has sent an update for
// leaderSilence, or until leaderSettling ago.
func (a *Agent) MayBeOutdated(version uint64) bool {
	return version < a.freshness.newestVersion.Load() || a.connected() == 0 || a.leader.Load() == nil ||
		a.leaderSilentFor() >= leaderSilence || a.options.Clock.Now() < clock.Instant(a.freshness.settledAt.Load())
}

// observeLeader records that an update of a leader has arrived.
func (a *Agent) observeLeader() {
	now := a.options.Clock.Now()
	if a.leader.Load() != nil && a.leaderSilentFor() >= leaderSilence {
		a.freshness.settledAt.Store(int64(now.Add(leaderSettling)))
	}
	a.leaderReportedAt.Store(int64(now))
}

// confirmed reports whether the first document that this process has got may be served: the
// replica that sent it may have lagged behind, and keys of it may have been removed long ago.
// Later documents need no confirmation, since the entry doesn't start with them.
func (a *Agent) confirmed(table *route.Table) bool {
	if a.freshness.confirmed.Load() {
		return true
	}
	waited := a.options.Clock.Now().Sub(clock.Instant(a.freshness.firstAt.Load()))
	if table.Workspaces != nil && waited < maxConfirmation && a.MayBeOutdated(table.Version) {
		return false
	}
	if !a.freshness.confirmed.Swap(true) {
		a.options.Log.Info("first document served", "version", table.Version, "waited_ms", waited.Milliseconds())
	}
	return true
}

// observeVersion records the document version that a control replica names.
func (a *Agent) observeVersion(version uint64) {
	for {
		held := a.freshness.newestVersion.Load()
		if version <= held || a.freshness.newestVersion.CompareAndSwap(held, version) {
			return
		}
	}
}
