// Package usage counts the requests of each workspace that servers began, by windows of
// time: at the entries, at control replicas as a sum over all entries, and as reports that
// the leader of the replicas sends.
package usage

import "time"

// Retention is how long an entry keeps counts after their window began, and so how old a
// count may be when a control replica gets it.
const Retention = 60 * time.Second

// Count is how many requests of a workspace servers began in a window, according to one
// incarnation of an entry. It only grows.
type Count struct {
	Window    uint64
	Workspace string
	Requests  uint64
}

// WindowOf returns the window of a given length that holds an instant in true time. Window
// k begins at k times the length after the start of 1970.
func WindowOf(t time.Time, length time.Duration) uint64 {
	if nanos := t.UnixNano(); nanos > 0 {
		return uint64(nanos / int64(length))
	}
	return 0
}

// EndOf returns the end of a window.
func EndOf(window uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(window+1)*int64(length))
}

// retained returns how many windows before the current one are kept.
func retained(length time.Duration) uint64 {
	return uint64((Retention + length - 1) / length)
}

// oldest returns the oldest window that is kept.
func oldest(current uint64, length time.Duration) uint64 {
	return current - min(current, retained(length))
}
