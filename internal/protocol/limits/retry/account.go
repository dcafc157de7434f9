package retry

import (
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// DefaultWindow is the length of a bound's window if none is set.
const DefaultWindow = 10 * time.Second

// Bound bounds the retries of a deployment at one service: within any Window they are
// at most Share times the requests in it, or in the window before it, plus Slack.
type Bound struct {
	Share  float64
	Slack  float64
	Window time.Duration
}

// Limit returns the number of retries allowed for the requests within a window.
func (b Bound) Limit(requests int) float64 {
	return b.Share*float64(requests) + b.Slack
}

// Part returns the part of one process in the limit: the share of its requests, and of the
// slack what falls to each of a number of processes. If that number is zero, which means
// unknown, nothing of the slack does.
func (b Bound) Part(requests, processes int) float64 {
	part := b.Share * float64(requests)
	if processes > 0 {
		part += b.Slack / float64(processes)
	}
	return part
}

// Account is one process's account of the retry budget of a service. It is safe for
// concurrent use.
type Account struct {
	window *Window
	// allows decides whether one more retry may be taken.
	allows func(Usage) bool
	// limit returns the process's part of the bound for a number of requests.
	limit func(requests int) float64
}

// NewAccount returns the account of a process that is alone.
func NewAccount(c clock.Clock, b Bound) *Account {
	allows := func(u Usage) bool { return float64(u.Retries+1) <= b.Limit(u.Requests) }
	return &Account{window: NewWindow(c, b.Window), allows: allows, limit: b.Limit}
}

// Request counts a request.
func (a *Account) Request() { a.window.Request() }

// Take takes a retry, or reports false if the budget has none.
func (a *Account) Take() (r Retry, ok bool) { return a.window.take(a.allows, a.limit) }

// Usage returns what the account holds at the moment.
func (a *Account) Usage() Usage { return a.window.Usage() }
