package prefillqueue

import "time"

const (
	// decay is the part of what was measured that each new measurement
	// leaves: some 200 readings count, a few seconds under load.
	decay = 0.995
	// priorLatency and firstRate are assumed before the first measurement: the
	// latency of a reading and its rate in tokens a second, between those of
	// the known models.
	priorLatency = 0.05
	priorRate    = 50000
	// priorWeight is the weight of that assumption, in readings.
	priorWeight = 10
	// priorSpanTokens is the number of tokens over which it is spread.
	priorSpanTokens = 20000
	// minRate bounds the estimate, in tokens a second.
	minRate = 5000
)

// prefillTimeModel estimates how long an engine takes for a prompt: a latency, and the
// tokens to be read at a rate. It is a least squares fit that forgets.
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

// observe takes a reading of tokens, those ahead of it included.
func (m *prefillTimeModel) observe(tokens int, took time.Duration) {
	m.n *= decay
	m.x *= decay
	m.y *= decay
	m.xx *= decay
	m.xy *= decay
	m.add(float64(tokens), took.Seconds(), 1)
}

// estimate returns the latency in seconds and the rate in tokens a second.
func (m *prefillTimeModel) estimate() (latency, rate float64) {
	spread := m.n*m.xx - m.x*m.x
	if spread <= 0 {
		return m.y / m.n, priorRate
	}
	perToken := min(max((m.n*m.xy-m.x*m.y)/spread, 0.1/priorRate), 1.0/minRate)
	return max(0, (m.y-perToken*m.x)/m.n), 1 / perToken
}
