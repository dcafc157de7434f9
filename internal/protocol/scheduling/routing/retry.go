package routing

import "time"

const (
	// MinRetryAfter and MaxRetryAfter bound the Retry-After of every refusal.
	MinRetryAfter = time.Second
	MaxRetryAfter = 30 * time.Second
)

// retryAfter is the time by which the fastest engine would miss the expected
// wait, as a Retry-After.
func retryAfter(fastest *Prediction, r *Request) time.Duration {
	late := fastest.TotalTime - r.ExpectedWait.Seconds()
	return ClampRetryAfter(late)
}

// ClampRetryAfter converts a backlog in seconds into a Retry-After within its
// bounds.
func ClampRetryAfter(seconds float64) time.Duration {
	seconds = min(max(seconds, MinRetryAfter.Seconds()), MaxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
