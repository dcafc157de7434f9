package routing

import (
	"sync/atomic"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
)

// Scorer computes the cost of a prediction, in seconds. The engine with the
// least sum of costs is picked.
type Scorer interface {
	Score(p *Prediction, r *Request) float64
}

// FinishTime scores by the time to the end of the answer.
type FinishTime struct{}

// Score implements Scorer.
func (FinishTime) Score(p *Prediction, _ *Request) float64 {
	return p.TotalTime
}

// OthersDelay scores by the delay that the request adds to those already at the
// engine.
type OthersDelay struct {
	// Weight is the cost of one second of delay of one request.
	Weight float64
}

// Score implements Scorer.
func (o OthersDelay) Score(p *Prediction, _ *Request) float64 {
	return o.Weight * p.OthersDelay
}

// ZoneDistance adds a fixed cost to engines in another availability zone.
type ZoneDistance struct {
	// Seconds is the cost of another zone.
	Seconds float64
}

// Score implements Scorer.
func (z ZoneDistance) Score(p *Prediction, r *Request) float64 {
	if p.Engine.Zone == r.Zone {
		return 0
	}
	return z.Seconds
}

// zoneDistanceSeconds is the round-trip time between two zones of a region.
const zoneDistanceSeconds = 0.002

// Predictive picks the engine with the least sum of scores among those
// predicted to answer within the class's expected wait.
type Predictive struct {
	Filters []Filter
	Scorers []Scorer
	// Jitter is the relative width of the random part of a score. It keeps
	// entries with equal views from choosing the same engine.
	Jitter float64
	// Margin scales the expected wait that a prediction must not exceed.
	Margin float64

	randomState atomic.Uint64
}

const (
	defaultJitter = 0.05
	defaultMargin = 1.0
)

// NewPredictive returns the standard picker. The seed makes its random part
// reproducible.
func NewPredictive(seed uint64) *Predictive {
	p := &Predictive{
		Filters: defaultFilters,
		Scorers: []Scorer{FinishTime{}, OthersDelay{Weight: 1}, ZoneDistance{Seconds: zoneDistanceSeconds}},
		Jitter:  defaultJitter,
		Margin:  defaultMargin,
	}
	p.randomState.Store(seed)
	return p
}

// Pick implements Picker.
func (p *Predictive) Pick(s *Snapshot, r *Request) (Choice, error) {
	v := s.Model(r.Model)
	held := v.holders(r.PrefixHashes)
	found := false
	var best, fastest Prediction
	var bestScore float64
	random := p.randomState.Add(splitmixIncrement)
	prediction := new(Prediction)
	for i := range v.Engines {
		e := &v.Engines[i]
		if !keepAll(e, r, p.Filters) {
			continue
		}
		*prediction = predict(v.Speeds, e, r, held.blocks(e.position))
		if fastest.Engine == nil || prediction.TotalTime < fastest.TotalTime {
			fastest = *prediction
		}
		if !p.withinExpectedWait(prediction, r) {
			continue
		}
		score := p.score(prediction, r, random+uint64(i))
		if !found || score < bestScore {
			found, best, bestScore = true, *prediction, score
		}
	}
	if fastest.Engine == nil {
		return Choice{}, ErrNoEngine
	}
	if !found {
		return Choice{}, &OverloadedError{RetryAfter: retryAfter(&fastest, r)}
	}
	return choice(&best), nil
}

func (p *Predictive) withinExpectedWait(prediction *Prediction, r *Request) bool {
	return r.ExpectedWait <= 0 || prediction.TotalTime <= r.ExpectedWait.Seconds()*p.Margin
}

func (p *Predictive) score(prediction *Prediction, r *Request, random uint64) float64 {
	sum := 0.0
	for _, s := range p.Scorers {
		sum += s.Score(prediction, r)
	}
	return sum * (1 + p.Jitter*unitRandom(random))
}

func choice(p *Prediction) Choice {
	return Choice{
		Engine:           p.Engine,
		TimeToFirstToken: speed.Seconds(p.TimeToFirstToken),
		TotalTime:        speed.Seconds(p.TotalTime),
		CachedTokens:     int(p.CachedTokens),
	}
}

func (v *ModelView) holders(prefix []uint64) holders {
	if v.prefixes == nil || len(prefix) == 0 {
		return holders{}
	}
	return v.prefixes.match(prefix)
}

// splitmixIncrement is the increment of the splitmix64 generator.
const splitmixIncrement = 0x9e3779b97f4a7c15

// unitRandom maps a number to a pseudo-random one in [0, 1) by the splitmix64
// finalizer.
func unitRandom(x uint64) float64 {
	x *= splitmixIncrement
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}
