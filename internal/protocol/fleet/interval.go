package fleet

import "time"

const (
	// MinLoadInterval and MaxLoadInterval bound the interval at which the leader exchanges
	// load figures with each entry. Shorter ones bring no gain; the older the figures, the
	// more entries send work to the same engine at once.
	MinLoadInterval = 25 * time.Millisecond
	MaxLoadInterval = 200 * time.Millisecond
	// loadIntervalPerEntry times the number of entries is the interval within these bounds,
	// so that the leader's total work does not grow with that number.
	loadIntervalPerEntry = time.Millisecond
)

// LoadInterval returns the interval at which the leader exchanges load figures with each of a
// number of entries.
func LoadInterval(entries int) time.Duration {
	return min(max(MinLoadInterval, time.Duration(entries)*loadIntervalPerEntry), MaxLoadInterval)
}
