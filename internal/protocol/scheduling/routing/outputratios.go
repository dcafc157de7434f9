package routing

import (
	"math"
	"sync"
	"sync/atomic"
)

// outputRatioWeight is the weight of one answer in the moving average of its
// class's output ratio.
const outputRatioWeight = 0.02

// outputRatios keeps, for each class, the moving average of the answers' length
// as a fraction of the upper bound that requests give.
type outputRatios struct {
	byClass sync.Map // classKey to *atomic.Uint64, bits of a float64
}

type classKey struct {
	team  string
	class string
}

func (l *outputRatios) ratio(team, class string) float64 {
	bits, ok := l.byClass.Load(classKey{team: team, class: class})
	if !ok {
		return 1
	}
	return math.Float64frombits(bits.(*atomic.Uint64).Load())
}

func (l *outputRatios) update(team, class string, ratio float64) {
	key := classKey{team: team, class: class}
	stored, ok := l.byClass.Load(key)
	if !ok {
		first := new(atomic.Uint64)
		first.Store(math.Float64bits(1))
		stored, _ = l.byClass.LoadOrStore(key, first)
	}
	bits := stored.(*atomic.Uint64)
	for {
		old := bits.Load()
		next := math.Float64frombits(old)
		next += outputRatioWeight * (ratio - next)
		if bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// OutputRatio returns the mean length of a class's answers as a fraction of the
// upper bound that its requests give; 1 if no answer is known.
func (t *Tracker) OutputRatio(team, class string) float64 {
	return t.outputRatios.ratio(team, class)
}
