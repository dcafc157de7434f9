package seededentry

import "time"

// leaderSilence is the time without an update from a leader after which the document in
// force may be an old one: this entry may be connected only to replicas that are cut off
// from the others. A replica leads only while its lease lasts, which ends before another
// one can acknowledge a document. So an entry doubts its document a second after that at
// the latest; 2.5 s are allowed. Elections take less time.
const leaderSilence = time.Second

// MayBeOutdated reports whether a newer document than the one in force here may be in force
// at others: a control replica named one, none is connected, or no leader has sent an update
// for leaderSilence.
func (a *Agent) MayBeOutdated() bool {
	table := a.table.Load()
	return table == nil || table.Version < a.newestVersion.Load() || a.connected() == 0 || a.leaderSilentFor() >= leaderSilence
}

// observeVersion records the document version that a control replica names.
func (a *Agent) observeVersion(version uint64) {
	for {
		held := a.newestVersion.Load()
		if version <= held || a.newestVersion.CompareAndSwap(held, version) {
			return
		}
	}
}
