package experiment

import (
	"container/heap"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// virtualClock is a clock.Clock that only the event queue advances. Its time is
// in seconds from the start of the run.
type virtualClock struct {
	now float64
}

// Now implements clock.Clock.
func (c *virtualClock) Now() clock.Instant {
	return instant(c.now)
}

// Wall implements clock.Clock.
func (c *virtualClock) Wall() time.Time {
	return time.Unix(0, int64(c.now*float64(time.Second)))
}

func instant(seconds float64) clock.Instant {
	return clock.Instant(seconds * float64(time.Second))
}

// event is a function scheduled for a time. Events at the same time run in the
// order of their sequence numbers.
type event struct {
	at       float64
	sequence uint64
	do       func()
}

// queue runs events in order of time; events at the same time run in the order
// in which they were added.
type queue struct {
	clock    *virtualClock
	heap     eventHeap
	sequence uint64
}

// at schedules an event for a time in seconds, or for now if that has passed.
func (q *queue) at(seconds float64, do func()) {
	q.sequence++
	heap.Push(&q.heap, event{at: max(seconds, q.clock.now), sequence: q.sequence, do: do})
}

// every schedules an event that repeats at an interval until end.
func (q *queue) every(first, interval, end float64, do func()) {
	if first > end {
		return
	}
	q.at(first, func() {
		do()
		q.every(first+interval, interval, end, do)
	})
}

// run runs events until none is left.
func (q *queue) run() {
	for len(q.heap) > 0 {
		e := heap.Pop(&q.heap).(event)
		q.clock.now = e.at
		e.do()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
