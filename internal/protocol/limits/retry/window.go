package retry

import (
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// windowBuckets is the number of buckets in which a window is counted. One more
	// bucket is kept, so that every span of the window's length is covered.
	windowBuckets = 10
	// requestBuckets is the number of buckets that are kept of requests: those of the
	// window before as well.
	requestBuckets = 2*windowBuckets + 1
)

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
	requests     [requestBuckets]int
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
	w.advanceBuckets()
	*w.requestsAt(0) += requests
	w.requestsEver += requests
	*w.retriesAt(0) += retries
	w.made += retries
}

// requestsAt and retriesAt return the bucket that is a number of buckets older than the
// newest one. w.mu must be held, and the buckets be advanced.
func (w *Window) requestsAt(age int) *int { return bucketAt(w.requests[:], w.newestBucket, age) }

func (w *Window) retriesAt(age int) *int { return bucketAt(w.retries[:], w.newestBucket, age) }

func bucketAt(buckets []int, newest int64, age int) *int {
	n := int64(len(buckets))
	return &buckets[((newest-int64(age))%n+n)%n]
}

// recent returns the buckets.
func (w *Window) recent() *Recent {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceBuckets()
	r := &Recent{}
	for age := range w.retries {
		r.Requests, r.Retries = append(r.Requests, *w.requestsAt(age)), append(r.Retries, *w.retriesAt(age))
	}
	return r
}

// addRecent adds the newest of the requests and retries of another window, up to the
// given numbers.
func (w *Window) addRecent(r *Recent, requests, retries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceBuckets()
	for age := range min(len(w.retries), len(r.Requests), len(r.Retries)) {
		addedRequests, addedRetries := min(requests, r.Requests[age]), min(retries, r.Retries[age])
		*w.requestsAt(age) += addedRequests
		*w.retriesAt(age) += addedRetries
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
	w.advanceBuckets()
	*w.retriesAt(0) += retries
	w.made += retries
	return w.made
}

// take reserves a retry if allows permits it in view of what the window holds, and limit, of
// a number of requests, would hold if no more requests came.
func (w *Window) take(allows func(Usage) bool, limit func(requests int) float64) (r Retry, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !allows(w.usage()) || !w.holdsIfRequestsStop(limit) {
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
	w.advanceBuckets()
	u := Usage{Retries: w.reserved, RequestsEver: w.requestsEver, Made: w.made, Taken: w.made + w.reserved, Denied: w.denied}
	for age := range w.retries {
		u.Retries += *w.retriesAt(age)
		if age < windowBuckets { // the oldest bucket may lie outside the window
			u.Requests += *w.requestsAt(age)
		}
	}
	return u
}

// holdsIfRequestsStop reports whether limit, of a number of requests, allows one more retry in
// each window that ends within the window's length from now, if no more requests come.
// Like the bound, it looks at the requests of such a window or of the one before it. The
// latter are taken to be as frequent as in the newest window, from the first request on.
// w.mu must be held.
func (w *Window) holdsIfRequestsStop(limit func(requests int) float64) bool {
	w.advanceBuckets()
	oldest := 0 // age of the bucket with the first request
	for age := range requestBuckets {
		if *w.requestsAt(age) > 0 {
			oldest = age
		}
	}
	newest := w.usage().Requests
	retries, requests := w.reserved+1, 0
	for age := range windowBuckets {
		retries += *w.retriesAt(age)
		requests += *w.requestsAt(age)
		before := newest * min(max(0, oldest-age), windowBuckets) / min(oldest+1, windowBuckets)
		if float64(retries) > limit(max(requests, before)) {
			return false
		}
	}
	return true
}

// advanceBuckets makes the current bucket the newest one and clears those that started since
// the last call. w.mu must be held.
func (w *Window) advanceBuckets() {
	now := int64(time.Duration(w.clock.Now()) / w.bucketLength)
	w.newestBucket = max(w.newestBucket, now-requestBuckets)
	for w.newestBucket < now {
		w.newestBucket++
		*w.requestsAt(0), *w.retriesAt(0) = 0, 0
	}
}
