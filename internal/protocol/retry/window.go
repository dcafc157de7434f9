package retry

import (
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// windowBuckets is the number of parts in which a window is counted. One part
// more than the window is kept, so that every span of its length is covered.
const windowBuckets = 10

// Window bounds repeats to a share of the requests of the last window plus a
// slack, over any span of its length. It is safe for concurrent use.
type Window struct {
	clock        clock.Clock
	share        float64
	bucketLength time.Duration

	mu sync.Mutex // guards the fields below
	// newestBucket is the number of the newestBucket part since the clock's start.
	newestBucket int64
	requests     [windowBuckets + 1]int
	retries      [windowBuckets + 1]int
}

// NewWindow returns a budget of share repeats for each request over spans of
// the given length.
func NewWindow(c clock.Clock, share float64, length time.Duration) *Window {
	return &Window{clock: c, share: share, bucketLength: length / windowBuckets}
}

// Request counts a request.
func (w *Window) Request() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advanceBuckets()]++
}

// Spend takes one repeat from the budget, or reports false if there is none.
// Slack is the number of repeats beyond the share.
func (w *Window) Spend(slack float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.advanceBuckets()
	requests, retries := 0, 0
	for i := range w.requests {
		retries += w.retries[i]
		if i != (at+1)%len(w.requests) { // the oldest part may lie outside
			requests += w.requests[i]
		}
	}
	if float64(retries+1) > w.share*float64(requests)+slack {
		return false
	}
	w.retries[at]++
	return true
}

// advanceBuckets returns the index of the current part and clears those passed by.
func (w *Window) advanceBuckets() int {
	now := int64(time.Duration(w.clock.Now()) / w.bucketLength)
	for ; w.newestBucket < now; w.newestBucket++ {
		if now-w.newestBucket > int64(len(w.requests)) {
			w.newestBucket = now - int64(len(w.requests))
		}
		next := int((w.newestBucket + 1) % int64(len(w.requests)))
		w.requests[next], w.retries[next] = 0, 0
	}
	return int(now % int64(len(w.requests)))
}
