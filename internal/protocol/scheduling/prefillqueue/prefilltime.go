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
	// minRate and maxRate bound the estimated rate, in tokens per second.
	minRate = 5000
	maxRate = 10 * priorRate
)

// prefillTimeModel estimates how long an engine takes to prefill a prompt: a
// fixed latency plus the prompt's tokens at a rate.
//
// The latency comes from a least squares fit of time over tokens, with exponential
// forgetting, of the prompts that an engine had mostly to itself. The rate is the
// number of tokens prefilled over the time that engines spent on them. Engines
// interleave prompts and serve urgent ones first, so that the time of a single
// prompt says little of its engine's rate: each prompt is taken to have had the
// part of its engine's time that it has of the engine's pending tokens, which holds
// for all prompts together.
type prefillTimeModel struct {
	n, x, y, xx, xy float64
	// tokens were prefilled in seconds of engine time.
	tokens, seconds float64
}

func newPrefillTimeModel() *prefillTimeModel {
	m := &prefillTimeModel{tokens: priorWeight * priorSpanTokens / 2}
	m.seconds = m.tokens / priorRate
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

// observe adds the measured time of a prefill. ahead and left are the numbers of other
// prompts' tokens that were pending at the engine when the prompt was sent and when it
// was done.
func (m *prefillTimeModel) observe(ahead, tokens, left int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	if ahead+left <= tokens/2 {
		m.n *= decay
		m.x *= decay
		m.y *= decay
		m.xx *= decay
		m.xy *= decay
		m.add(float64(tokens)+float64(ahead+left)/2, took.Seconds(), 1)
	}
	latency, _ := m.fit()
	others := float64(ahead+left) / 2
	m.tokens = decay*m.tokens + float64(tokens)
	m.seconds = decay*m.seconds + (took.Seconds()-latency)*float64(tokens)/(float64(tokens)+others)
}

// estimate returns the latency in seconds and the rate in tokens per second.
func (m *prefillTimeModel) estimate() (latency, rate float64) {
	latency, _ = m.fit()
	return latency, min(max(m.tokens/max(m.seconds, m.tokens/maxRate), minRate), maxRate)
}

// fit returns the latency in seconds and the time in seconds for a token of a prompt
// that an engine has to itself.
func (m *prefillTimeModel) fit() (latency, perToken float64) {
	spread := m.n*m.xx - m.x*m.x
	if spread <= 0 {
		return m.y / m.n, 1.0 / priorRate
	}
	perToken = min(max((m.n*m.xy-m.x*m.y)/spread, 1.0/maxRate), 1.0/minRate)
	return max(0, (m.y-perToken*m.x)/m.n), perToken
}
