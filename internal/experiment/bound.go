package experiment

import (
	"math"
	"sort"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
)

// bisectionSteps is the number of steps of the search for the feasible part of
// one slot.
const bisectionSteps = 12

// Bound returns an upper bound on the worth of the requests after the warm-up
// that any policy can serve in time: that of a clairvoyant fluid plan. The plan
// knows all arrivals, splits requests arbitrarily, changes roles at no cost,
// finds every shared prefix cached and fills every batch. Its only limits are
// engine time and the expected waits, in slots of one second. Units of work of
// one second with release times and deadlines form a scheduling matroid, so it is
// optimal to add work greedily by worth per engine second while it is feasible.
func Bound(d *Deployment, c *Cell, arrivals []arrival) float64 {
	return newBoundPlan(d, c, arrivals).total()
}

// total returns the worth of the plan.
func (b *boundPlan) total() float64 {
	worth := 0.0
	for _, class := range b.order {
		offered := b.work[class]
		b.takeClass(class)
		for t := range offered {
			if offered[t] > 0 {
				worth += b.worth[class][t] * b.taken[class][t] / offered[t]
			}
		}
	}
	return worth + b.slack
}

type boundPlan struct {
	// capacity is the engine time in each slot. work, taken and worth are
	// indexed by class and slot of arrival; taken is the part of the work that
	// the plan serves.
	capacity []float64
	work     [][]float64
	taken    [][]float64
	worth    [][]float64
	// waitSlots is the number of slots, from that of arrival on, in which the
	// work of a class may be done.
	waitSlots []int
	order     []int
	// slack is the worth within the remaining error of the bisections; adding it
	// keeps the result an upper bound.
	slack float64
}

func newBoundPlan(d *Deployment, c *Cell, arrivals []arrival) *boundPlan {
	slots := int(c.Duration) + 1
	longest := 0
	b := &boundPlan{}
	for i := range d.Classes {
		b.work = append(b.work, make([]float64, slots))
		b.taken = append(b.taken, make([]float64, slots))
		b.worth = append(b.worth, make([]float64, slots))
		b.waitSlots = append(b.waitSlots, int(math.Ceil(d.Classes[i].Wait))+1)
		longest = max(longest, b.waitSlots[i])
	}
	for i := range arrivals {
		a := &arrivals[i]
		if a.at < warmUp {
			continue
		}
		slot := int(a.at)
		b.work[a.class][slot] += speed.Default.Cheapest(float64(a.promptTokens-a.sharedTokens), float64(a.outputTokens))
		b.worth[a.class][slot] += d.Classes[a.class].Worth
	}
	b.capacity = make([]float64, slots+longest)
	for t := range b.capacity {
		b.capacity[t] = capacityAt(d, c, float64(t)) * (1 - c.OldSystemShare)
	}
	b.sort()
	return b
}

func capacityAt(d *Deployment, c *Cell, t float64) float64 {
	n := float64(d.Engines)
	for _, l := range c.Crashes {
		if t >= math.Ceil(l.At) && (l.RestartAt == 0 || t < math.Floor(l.RestartAt)) {
			n--
		}
	}
	return n
}

// sort orders the classes by worth per engine second, highest first.
func (b *boundPlan) sort() {
	density := make([]float64, len(b.work))
	for class := range b.work {
		b.order = append(b.order, class)
		work, worth := sum(b.work[class]), sum(b.worth[class])
		if work > 0 {
			density[class] = worth / work
		}
	}
	sort.SliceStable(b.order, func(i, j int) bool { return density[b.order[i]] > density[b.order[j]] })
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// takeClass adds as much work of a class to the plan as is feasible with what it
// already holds.
func (b *boundPlan) takeClass(class int) {
	copy(b.taken[class], b.work[class])
	if b.feasible() {
		return
	}
	clear(b.taken[class])
	for slot, work := range b.work[class] {
		if work > 0 {
			b.takeSlot(class, slot, work)
		}
	}
}

func (b *boundPlan) takeSlot(class, slot int, work float64) {
	b.taken[class][slot] = work
	if b.feasible() {
		return
	}
	low, high := 0.0, work
	for range bisectionSteps {
		middle := (low + high) / 2
		b.taken[class][slot] = middle
		if b.feasible() {
			low = middle
		} else {
			high = middle
		}
	}
	b.taken[class][slot] = low
	b.slack += (high - low) / work * b.worth[class][slot]
}

// feasible reports whether all taken work can be done in time, by an
// earliest-deadline-first schedule.
func (b *boundPlan) feasible() bool {
	const tolerance = 1e-9
	heads := make([]int, len(b.taken))
	remaining := make([]float64, len(b.taken))
	for class := range b.taken {
		remaining[class] = b.taken[class][0]
	}
	for t, capacity := range b.capacity {
		for {
			class := b.earliest(heads, t)
			if class < 0 {
				break
			}
			if t >= heads[class]+b.waitSlots[class] && remaining[class] > tolerance {
				return false
			}
			done := min(remaining[class], capacity)
			remaining[class] -= done
			capacity -= done
			if remaining[class] > tolerance {
				break
			}
			heads[class]++
			if heads[class] < len(b.taken[class]) {
				remaining[class] = b.taken[class][heads[class]]
			}
		}
	}
	return true
}

// earliest returns the class whose oldest unfinished work has the earliest
// deadline, among the work that arrived by slot t, or -1 if there is none.
func (b *boundPlan) earliest(heads []int, t int) int {
	best := -1
	for class, head := range heads {
		if head > t || head >= len(b.taken[class]) {
			continue
		}
		if best < 0 || head+b.waitSlots[class] < heads[best]+b.waitSlots[best] {
			best = class
		}
	}
	return best
}
