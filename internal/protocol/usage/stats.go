package usage

import "sync/atomic"

// stats counts what a Reporter has done.
type stats struct {
	decided, decisionsFailed, sent, failed, late, lost atomic.Uint64
	undelivered                                        atomic.Int64
}

// Stats is what a Reporter has done since its start.
type Stats struct {
	// Decided counts windows, DecisionsFailed commits that failed.
	Decided, DecisionsFailed uint64
	// Sent counts reports that were accepted, and Late those of them that arrived too late.
	Sent, Late uint64
	// Failed counts calls that failed, Lost reports that were given up.
	Failed, Lost uint64
	// Undelivered is the number of reports that wait.
	Undelivered int64
}

// Stats returns what the reporter has done. It may be called concurrently.
func (r *Reporter) Stats() Stats {
	return Stats{
		Decided: r.stats.decided.Load(), DecisionsFailed: r.stats.decisionsFailed.Load(),
		Sent: r.stats.sent.Load(), Late: r.stats.late.Load(),
		Failed: r.stats.failed.Load(), Lost: r.stats.lost.Load(),
		Undelivered: r.stats.undelivered.Load(),
	}
}
