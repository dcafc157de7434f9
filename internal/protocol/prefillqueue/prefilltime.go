package prefillqueue

import "time"

const (
	// decay is the factor applied to the weight of earlier measurements at each
	// new one: about 200 prefills count, a few seconds under load.
	decay = 0.995
	// priorLatency, in seconds, and priorRate, in tokens per second, are assumed
	// before the first measurement; they lie between those of the known models.
	priorLatency = 0.05
	priorRate    = 50000
	// priorWeight is the weight of the prior, in measurements.
	priorWeight = 10
	// priorSpanTokens is the range of prompt lengths over which the prior is
	// spread, in tokens.
	priorSpanTokens = 20000
	// minRate is the lower bound of the estimated rate, in tokens per second.
	minRate = 5000
)

// prefillTimeModel estimates how long an engine takes to prefill a prompt: a
// fixed latency plus the prompt's tokens at a rate. It is a least squares fit
// of time over tokens with exponential forgetting.
type prefillTimeModel struct {
	n, x, y, xx, xy float64
}

func newPrefillTimeModel() *prefillTimeModel {
	m := &prefillTimeModel{}
	for _, x := range []float64{0, priorSpanTokens} {
		m.add(x, priorLatency+x/priorRate, priorWeight/2)
	}
	return m
}

func (m *prefillTimeModel) add(x, y, weight float64) {
	m.n += weight
	m.x += weight * x
	m.y += weight * y
	m.xx += weight * x * x
	m.xy += weight * x * y
}

// observe adds the measured time of a prefill; tokens includes those that were
// queued ahead of it.
func (m *prefillTimeModel) observe(tokens int, took time.Duration) {
	m.n *= decay
	m.x *= decay
	m.y *= decay
	m.xx *= decay
	m.xy *= decay
	m.add(float64(tokens), took.Seconds(), 1)
}

// estimate returns the latency in seconds and the rate in tokens per second.
func (m *prefillTimeModel) estimate() (latency, rate float64) {
	spread := m.n*m.xx - m.x*m.x
	if spread <= 0 {
		return m.y / m.n, priorRate
	}
	perToken := min(max((m.n*m.xy-m.x*m.y)/spread, 0.1/priorRate), 1.0/minRate)
	return max(0, (m.y-perToken*m.x)/m.n), 1 / perToken
}
