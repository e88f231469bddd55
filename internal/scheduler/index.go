package scheduler

import "github.com/pistachioport/pistachioport/internal/scheduler/resources"

const (
	// bucketCPU is the width of a bucket, in thousandths of a processor.
	bucketCPU = 1000
	// bucketCount is the number of buckets; the last has no upper bound.
	bucketCount = 129
)

// bucket holds usable workers with a similar number of free processors.
type bucket struct {
	workers []*Worker
	maxFree resources.Amount // upper bound of what any of its workers has free, by resource
	exact   bool             // maxFree is the exact maximum
}

// index finds workers by free processors, fewest first.
type index struct {
	buckets [bucketCount]bucket
	count   int
}

func bucketOf(cpu int64) int {
	return int(min(max(0, cpu)/bucketCPU, bucketCount-1))
}

// insert adds a usable worker to its bucket.
func (x *index) insert(w *Worker) {
	at := bucketOf(w.Free.CPU)
	b := &x.buckets[at]
	w.bucket = at
	w.position = len(b.workers)
	b.workers = append(b.workers, w)
	b.maxFree = b.maxFree.Max(w.Free)
	b.exact = false
	x.count++
}

// remove removes the worker from its bucket.
func (x *index) remove(w *Worker) {
	b := &x.buckets[w.bucket]
	last := len(b.workers) - 1
	moved := b.workers[last]
	b.workers[w.position] = moved
	moved.position = w.position
	b.workers[last] = nil
	b.workers = b.workers[:last]
	w.bucket = notIndexed
	b.exact = false
	x.count--
}

// tightenBound makes maxFree the exact maximum.
func (b *bucket) tightenBound() {
	if b.exact {
		return
	}
	b.maxFree = resources.Amount{}
	for _, w := range b.workers {
		b.maxFree = b.maxFree.Max(w.Free)
	}
	b.exact = true
}

// visit calls f for workers that fit the amount, by bucket from the fewest free
// processors on, until f returns false.
func (x *index) visit(amount resources.Amount, f func(w *Worker) bool) {
	for at := bucketOf(amount.CPU); at < bucketCount; at++ {
		if !x.buckets[at].visit(amount, f) {
			return
		}
	}
}

func (b *bucket) visit(amount resources.Amount, f func(w *Worker) bool) bool {
	if len(b.workers) == 0 || !amount.FitsIn(b.maxFree) {
		return true
	}
	found := false
	for _, w := range b.workers {
		if !amount.FitsIn(w.Free) {
			continue
		}
		found = true
		if !f(w) {
			return false
		}
	}
	if !found {
		b.tightenBound() // lets the next search skip this bucket
	}
	return true
}
