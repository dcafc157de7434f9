package prefillqueue

import "time"

const (
	// forgetting is the part of what was measured that each new measurement
	// leaves: some 200 readings count, a few seconds under load.
	forgetting = 0.995
	// firstBase and firstRate are assumed before the first measurement: the
	// latency of a reading and its rate in tokens a second, between those of
	// the known models.
	firstBase = 0.05
	firstRate = 50000
	// firstWeight is the weight of that assumption, in readings.
	firstWeight = 10
	// firstSpan is the number of tokens over which it is spread.
	firstSpan = 20000
	// slowestRate bounds the estimate, in tokens a second.
	slowestRate = 5000
)

// readTime estimates how long an engine takes for a prompt: a latency, and the
// tokens to be read at a rate. It is a least squares fit that forgets.
type readTime struct {
	n, x, y, xx, xy float64
}

func newReadTime() *readTime {
	r := &readTime{}
	for _, x := range []float64{0, firstSpan} {
		r.add(x, firstBase+x/firstRate, firstWeight/2)
	}
	return r
}

func (r *readTime) add(x, y, weight float64) {
	r.n += weight
	r.x += weight * x
	r.y += weight * y
	r.xx += weight * x * x
	r.xy += weight * x * y
}

// observe takes a reading of tokens, those ahead of it included.
func (r *readTime) observe(tokens int, took time.Duration) {
	r.n *= forgetting
	r.x *= forgetting
	r.y *= forgetting
	r.xx *= forgetting
	r.xy *= forgetting
	r.add(float64(tokens), took.Seconds(), 1)
}

// estimate returns the latency in seconds and the rate in tokens a second.
func (r *readTime) estimate() (latency, rate float64) {
	spread := r.n*r.xx - r.x*r.x
	if spread <= 0 {
		return r.y / r.n, firstRate
	}
	perToken := min(max((r.n*r.xy-r.x*r.y)/spread, 0.1/firstRate), 1.0/slowestRate)
	return max(0, (r.y-perToken*r.x)/r.n), 1 / perToken
}
