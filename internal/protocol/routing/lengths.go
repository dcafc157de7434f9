package routing

import (
	"math"
	"sync"
	"sync/atomic"
)

// lengthRate is the weight of one answer in a class's mean length.
const lengthRate = 0.02

// lengths learns how long the answers of each class are, as a part of the
// bound that requests give.
type lengths struct {
	classes sync.Map // lengthKey to *atomic.Uint64, bits of a float64
}

type lengthKey struct {
	team  string
	class string
}

func (l *lengths) ratio(team, class string) float64 {
	bits, ok := l.classes.Load(lengthKey{team: team, class: class})
	if !ok {
		return 1
	}
	return math.Float64frombits(bits.(*atomic.Uint64).Load())
}

func (l *lengths) learn(team, class string, ratio float64) {
	key := lengthKey{team: team, class: class}
	stored, ok := l.classes.Load(key)
	if !ok {
		first := new(atomic.Uint64)
		first.Store(math.Float64bits(1))
		stored, _ = l.classes.LoadOrStore(key, first)
	}
	bits := stored.(*atomic.Uint64)
	for {
		old := bits.Load()
		next := math.Float64frombits(old)
		next += lengthRate * (ratio - next)
		if bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// OutputRatio returns the mean length of a class's answers as a part of the
// bound that its requests give; 1 if nothing is known.
func (t *Tracker) OutputRatio(team, class string) float64 {
	return t.lengths.ratio(team, class)
}
