package retry

import (
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// windowBuckets is the number of buckets in which a window is counted. One more
// bucket is kept, so that every span of the window's length is covered.
const windowBuckets = 10

// Window is a sliding-window retry budget: over any span of the window's length
// it bounds retries to a share of the requests plus a slack. It is safe for
// concurrent use.
type Window struct {
	clock        clock.Clock
	share        float64
	bucketLength time.Duration

	mu sync.Mutex // guards the fields below
	// newestBucket is the number of the newest bucket since the clock's zero.
	newestBucket int64
	requests     [windowBuckets + 1]int
	retries      [windowBuckets + 1]int
	// reserved counts the retries that were taken and not made or given back yet.
	reserved int
	denied   int
}

// NewWindow returns a budget of share retries per request over spans of the
// given length.
func NewWindow(c clock.Clock, share float64, length time.Duration) *Window {
	return &Window{clock: c, share: share, bucketLength: length / windowBuckets}
}

// Request counts a request.
func (w *Window) Request() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advanceBuckets()]++
}

// Retry is a retry that was taken from a Window and counts against it. Either Made or
// Return must be called, once. On the zero Retry both do nothing.
type Retry struct {
	window *Window
}

// Made records that the retry is being sent now: it may have waited since it was
// taken, and servers count it when it arrives.
func (r Retry) Made() { r.end(1) }

// Return gives a retry back that was not made.
func (r Retry) Return() { r.end(0) }

func (r Retry) end(made int) {
	w := r.window
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reserved--
	w.retries[w.advanceBuckets()] += made
}

// Spend takes one retry from the budget and makes it, or reports false if there is
// none. slack is the number of retries allowed beyond the share.
func (w *Window) Spend(slack float64) bool {
	r, ok := w.Take(slack)
	r.Made()
	return ok
}

// Take is like Spend for a retry that is made later, or not at all.
func (w *Window) Take(slack float64) (r Retry, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.advanceBuckets()
	u := w.usage(at)
	if float64(u.Retries+1) > w.share*float64(u.Requests)+slack {
		w.denied++
		return Retry{}, false
	}
	w.reserved++
	return Retry{window: w}, true
}

// Usage is what a window holds at one moment.
type Usage struct {
	Requests int
	// Retries includes those that were taken and are not made yet.
	Retries int
	// Allowed is the number of retries that the requests allow, without slack.
	Allowed float64
	// Denied counts the retries that were ever denied.
	Denied int
}

// Usage returns the requests and retries within the window.
func (w *Window) Usage() Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usage(w.advanceBuckets())
}

// usage sums up the buckets; at is the index of the current one. w.mu must be held.
func (w *Window) usage(at int) Usage {
	u := Usage{Denied: w.denied, Retries: w.reserved}
	for i := range w.requests {
		u.Retries += w.retries[i]
		if i != (at+1)%len(w.requests) { // the oldest bucket may lie outside the window
			u.Requests += w.requests[i]
		}
	}
	u.Allowed = w.share * float64(u.Requests)
	return u
}

// advanceBuckets returns the index of the current bucket and clears those that
// started since the last call. w.mu must be held.
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
