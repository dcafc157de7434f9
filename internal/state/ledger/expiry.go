package ledger

import (
	"cmp"
)

// expiryItem is the expiry queue's item for one record.
type expiryItem struct {
	stamp int64
	key   Key
}

// expiryQueue is a min-heap ordered by stamp and then by key, so that all
// replicas prune in the same order.
type expiryQueue []expiryItem

func (q expiryQueue) Len() int { return len(q) }

func (q expiryQueue) Less(i, j int) bool {
	if q[i].stamp != q[j].stamp {
		return q[i].stamp < q[j].stamp
	}
	return compareKeys(q[i].key, q[j].key) < 0
}

func (q expiryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(expiryItem)) }

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Customer, b.Customer),
		cmp.Compare(a.IdempotencyKey, b.IdempotencyKey),
	)
}
