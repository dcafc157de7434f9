// Package usagelog holds the decisions on what is reported of the usage of each window
// of time. They are made by commands of the replicated log, so that all replicas repeat a
// report byte for byte.
package usagelog

import (
	"cmp"
	"slices"
)

const (
	// maxDecisions bounds the history: ten minutes of windows of 5 s.
	maxDecisions = 120
	// maxReportBytes bounds the reports in the history that are not delivered.
	maxReportBytes = 8 << 20
)

// Command is a command on the usage log. Exactly one field is set.
type Command struct {
	Decide    *Decide    `cbor:"1,keyasint,omitempty"`
	Delivered *Delivered `cbor:"2,keyasint,omitempty"`
}

// Decide sets the report of a window unless there is one.
type Decide struct {
	Window uint64 `cbor:"1,keyasint"`
	// Report is the report as it is sent.
	Report []byte `cbor:"2,keyasint"`
	// Appliers are the IDs of the replicas that can apply the commands on the usage log.
	Appliers []uint64 `cbor:"3,keyasint,omitempty"`
}

// Delivered marks the report of a window as delivered.
type Delivered struct {
	Window uint64 `cbor:"1,keyasint"`
}

// Result is the result of a Command.
type Result struct {
	// Accepted is false if the command had no effect: the window was decided before or is
	// older than the history, or the mark was set before.
	Accepted bool `cbor:"1,keyasint"`
	// Lost are the windows that left the history before their reports were delivered.
	Lost []uint64 `cbor:"2,keyasint,omitempty"`
}

// Decision is the decision on one window.
type Decision struct {
	Window    uint64 `cbor:"1,keyasint"`
	Delivered bool   `cbor:"2,keyasint,omitempty"`
	// Report is empty once it has been delivered.
	Report []byte `cbor:"3,keyasint,omitempty"`
}

// Log is the history of decisions. It is immutable; the zero value is empty.
type Log struct {
	// Decisions are in the order of their windows.
	Decisions []Decision `cbor:"1,keyasint,omitempty"`
	// First is the first window that can still be decided: the first one of the deployment,
	// or the one after the newest that has left the history.
	First uint64 `cbor:"2,keyasint,omitempty"`
	// Appliers are those of the newest accepted Decide that named any.
	Appliers []uint64 `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether no window has ever been decided.
func (l *Log) Empty() bool {
	return len(l.Decisions) == 0 && l.First == 0
}

// Find returns the decision on a window.
func (l *Log) Find(window uint64) (d Decision, found bool) {
	i, found := l.search(window)
	if !found {
		return Decision{}, false
	}
	return l.Decisions[i], true
}

// Decided reports whether a window is decided or can't be decided any more.
func (l *Log) Decided(window uint64) bool {
	_, found := l.search(window)
	return found || window < l.First
}

// Undelivered returns the decisions that are not known to be delivered, oldest first.
func (l *Log) Undelivered() []Decision {
	var out []Decision
	for _, d := range l.Decisions {
		if !d.Delivered {
			out = append(out, d)
		}
	}
	return out
}

func (l *Log) search(window uint64) (index int, found bool) {
	return slices.BinarySearchFunc(l.Decisions, window, func(d Decision, w uint64) int { return cmp.Compare(d.Window, w) })
}

// Apply returns the log after a command.
func (l *Log) Apply(c Command) (*Log, Result) {
	switch {
	case c.Decide != nil:
		return l.decide(*c.Decide)
	case c.Delivered != nil:
		return l.delivered(c.Delivered.Window)
	}
	return l, Result{}
}

func (l *Log) decide(d Decide) (*Log, Result) {
	i, found := l.search(d.Window)
	if found || d.Window < l.First {
		return l, Result{}
	}
	next := &Log{Decisions: slices.Clone(l.Decisions), First: l.First, Appliers: l.Appliers}
	if l.Empty() {
		next.First = d.Window // there was no deployment before
	}
	next.Decisions = slices.Insert(next.Decisions, i, Decision{Window: d.Window, Report: d.Report})
	if len(d.Appliers) > 0 {
		next.Appliers = d.Appliers
	}
	return next, Result{Accepted: true, Lost: next.trim()}
}

// trim removes the oldest decisions beyond the bounds and returns the windows of those
// that were not delivered. The log must not be shared yet.
func (l *Log) trim() (lost []uint64) {
	total := 0
	for _, d := range l.Decisions {
		total += len(d.Report)
	}
	// The newest decision stays, however large its report is.
	for len(l.Decisions) > 1 && (len(l.Decisions) > maxDecisions || total > maxReportBytes) {
		oldest := l.Decisions[0]
		if !oldest.Delivered {
			lost = append(lost, oldest.Window)
		}
		total -= len(oldest.Report)
		l.First = oldest.Window + 1
		l.Decisions = slices.Delete(l.Decisions, 0, 1)
	}
	return lost
}

func (l *Log) delivered(window uint64) (*Log, Result) {
	i, found := l.search(window)
	if !found || l.Decisions[i].Delivered {
		return l, Result{}
	}
	next := &Log{Decisions: slices.Clone(l.Decisions), First: l.First, Appliers: l.Appliers}
	next.Decisions[i] = Decision{Window: window, Delivered: true}
	return next, Result{Accepted: true}
}
