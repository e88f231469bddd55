package claims

import "container/heap"

// expiryQueue is a heap of records, earliest expiry first. Each record stores its
// index in the heap.
type expiryQueue []*record

var _ heap.Interface = (*expiryQueue)(nil)

func (q expiryQueue) Len() int { return len(q) }

func (q expiryQueue) Less(i, j int) bool { return q[i].expiry < q[j].expiry }

func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *expiryQueue) Push(item any) {
	r := item.(*record)
	r.heapIndex = len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
