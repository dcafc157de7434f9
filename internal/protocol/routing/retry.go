package routing

import "time"

const (
	// MinRetryAfter and MaxRetryAfter bound every Retry-After of a refusal.
	MinRetryAfter = time.Second
	MaxRetryAfter = 30 * time.Second
)

// retryAfter is how long the soonest engine needs to work off what makes the
// request late.
func retryAfter(fastest *Prediction, r *Request) time.Duration {
	late := fastest.TotalTime - r.ExpectedWait.Seconds()
	return ClampRetryAfter(late)
}

// ClampRetryAfter turns a backlog in seconds into a Retry-After.
func ClampRetryAfter(seconds float64) time.Duration {
	seconds = min(max(seconds, MinRetryAfter.Seconds()), MaxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
