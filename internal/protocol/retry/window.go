package retry

import (
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// windowBuckets is the number of buckets in which a window is counted. One more
// bucket is kept, so that every span of the window's length is covered.
const windowBuckets = 10

// Window counts requests and retries within a sliding window: never fewer retries, and
// never more requests, than any span of its length that ends now has. It is safe for
// concurrent use.
type Window struct {
	clock        clock.Clock
	bucketLength time.Duration
	// onRetry is called after each retry with the number of retries so far, if set.
	onRetry func(made int)

	mu sync.Mutex // guards the fields below
	// newestBucket is the number of the newest bucket since the clock's zero.
	newestBucket int64
	requests     [windowBuckets + 1]int
	retries      [windowBuckets + 1]int
	// reserved counts the retries that were taken and not made or given back yet.
	reserved int
	// requestsEver, made and denied count since the window was created.
	requestsEver, made, denied int
}

// NewWindow returns an empty window of the given length; zero means DefaultWindow.
func NewWindow(c clock.Clock, length time.Duration) *Window {
	if length <= 0 {
		length = DefaultWindow
	}
	return &Window{clock: c, bucketLength: length / windowBuckets}
}

// Usage is what a window holds at one moment.
type Usage struct {
	Requests int
	// Retries includes those that were taken and are not made yet.
	Retries int
	// RequestsEver and Made count the requests and the retries that were made since the
	// window was created, Denied the retries that were not allowed. Taken is Made and
	// those that are not made yet.
	RequestsEver, Made, Taken, Denied int
}

// Request counts a request.
func (w *Window) Request() { w.add(1, 0) }

// add counts requests and retries that are made now.
func (w *Window) add(requests, retries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.advanceBuckets()
	w.requests[at] += requests
	w.requestsEver += requests
	w.retries[at] += retries
	w.made += retries
}

// recent returns the buckets.
func (w *Window) recent() *Recent {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, r := w.advanceBuckets(), &Recent{}
	for age := range w.requests {
		i := (at - age + len(w.requests)) % len(w.requests)
		r.Requests, r.Retries = append(r.Requests, w.requests[i]), append(r.Retries, w.retries[i])
	}
	return r
}

// addRecent adds the newest of the requests and retries of another window, up to the
// given numbers.
func (w *Window) addRecent(r *Recent, requests, retries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.advanceBuckets()
	for age := range min(len(w.requests), len(r.Requests), len(r.Retries)) {
		i := (at - age + len(w.requests)) % len(w.requests)
		addedRequests, addedRetries := min(requests, r.Requests[age]), min(retries, r.Retries[age])
		w.requests[i] += addedRequests
		w.retries[i] += addedRetries
		requests, retries = requests-addedRequests, retries-addedRetries
	}
}

// Retry is a retry that was taken and counts against the budget. Either Made or
// Return must be called, once. On the zero Retry both do nothing.
type Retry struct {
	window *Window
}

// Made records that the retry is being sent now: it may have waited since it was
// taken, and servers count it when it arrives.
func (r Retry) Made() {
	if r.window == nil {
		return
	}
	if made := r.window.end(1); r.window.onRetry != nil {
		r.window.onRetry(made)
	}
}

// Return gives a retry back that was not made.
func (r Retry) Return() {
	if r.window != nil {
		r.window.end(0)
	}
}

// end ends a reservation with the given number of retries and returns the number so far.
func (w *Window) end(retries int) (made int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reserved--
	w.retries[w.advanceBuckets()] += retries
	w.made += retries
	return w.made
}

// take reserves a retry if allows permits it in view of what the window holds.
func (w *Window) take(allows func(Usage) bool) (r Retry, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !allows(w.usage()) {
		w.denied++
		return Retry{}, false
	}
	w.reserved++
	return Retry{window: w}, true
}

// Usage returns what the window holds.
func (w *Window) Usage() Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usage()
}

// usage sums up the buckets. w.mu must be held.
func (w *Window) usage() Usage {
	at := w.advanceBuckets()
	u := Usage{Retries: w.reserved, RequestsEver: w.requestsEver, Made: w.made, Taken: w.made + w.reserved, Denied: w.denied}
	for i := range w.requests {
		u.Retries += w.retries[i]
		if i != (at+1)%len(w.requests) { // the oldest bucket may lie outside the window
			u.Requests += w.requests[i]
		}
	}
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
