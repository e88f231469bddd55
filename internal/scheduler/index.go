package scheduler

import "github.com/pistachioport/pistachioport/internal/scheduler/resources"

const (
	// bucketCPU is the width of a bucket, in thousandths of a processor.
	bucketCPU = 1000
	// bucketCount bounds the buckets; the last takes all larger ones.
	bucketCount = 129
)

// bucket is the usable workers of about the same free processors.
type bucket struct {
	workers []*Worker
	maxFree resources.Amount // no worker of it has more free of any resource
	exact   bool             // most is not larger than needed
}

// index finds workers by their free processors, fewest first.
type index struct {
	buckets [bucketCount]bucket
	count   int
}

func bucketOf(cpu int64) int {
	return int(min(max(0, cpu)/bucketCPU, bucketCount-1))
}

// insert puts a usable worker into its bucket.
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

// remove takes the worker out of its bucket.
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

// tightenBound makes the bucket's bound exact.
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

// visit calls f with workers that can hold the amount, fewest free processors
// first, until it returns false.
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
		b.tightenBound() // the next search passes the bucket without a look inside
	}
	return true
}
