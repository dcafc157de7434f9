package enginemodel

// waitingHeap orders jobs by priority, then by arrival.
type waitingHeap []*Job

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].arrival < h[j].arrival
}

func (h waitingHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *waitingHeap) Push(x any) { *h = append(*h, x.(*Job)) }

// Pop implements heap.Interface.
func (h *waitingHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	*h = (*h)[:last]
	return j
}

// runningHeap orders jobs by the time at which they end, then by arrival.
type runningHeap []*Job

func (h runningHeap) Len() int { return len(h) }

func (h runningHeap) Less(i, j int) bool {
	if h[i].finish != h[j].finish {
		return h[i].finish < h[j].finish
	}
	return h[i].arrival < h[j].arrival
}

func (h runningHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].runningIndex, h[j].runningIndex = i, j
}

// Push implements heap.Interface.
func (h *runningHeap) Push(x any) {
	j := x.(*Job)
	j.runningIndex = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *runningHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	j.runningIndex = -1
	*h = (*h)[:last]
	return j
}
