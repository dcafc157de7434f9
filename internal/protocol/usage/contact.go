package usage

import (
	"maps"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// contactMemory is how long an entry from which nothing comes may still be there and out of
// contact: the longest partition that is waited for.
const contactMemory = 20 * time.Second

// contact is when an entry was heard last.
type contact struct {
	incarnation uint64
	at          clock.Instant
}

// Heard records that a report of an entry has arrived. serves is false if the entry takes no
// new work, such as before it stops.
func (a *Aggregator) Heard(entry string, incarnation uint64, serves bool) {
	if a == nil {
		return
	}
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if incarnation < a.entries[entry].incarnation {
		return // the end of an earlier run
	}
	if !serves {
		delete(a.entries, entry)
		return
	}
	a.entries[entry] = contact{incarnation: incarnation, at: now}
}

// Unheard returns the number of entries that may have counted requests in a window which
// this replica doesn't know: those that were heard lately, but not since the end of the
// window, some time ago.
func (a *Aggregator) Unheard(sinceEnd time.Duration) int {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.entries, func(_ string, c contact) bool { return now.Sub(c.at) > contactMemory })
	unheard := 0
	for _, c := range a.entries {
		if now.Sub(c.at) > sinceEnd {
			unheard++
		}
	}
	return unheard
}
