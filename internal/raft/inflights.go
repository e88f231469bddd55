package raft

// inflights is the sliding window of append messages that were sent to a
// follower and are not yet acknowledged. It holds the index of the last entry of
// each message, in ascending order.
type inflights struct {
	capacity int // messages
	indexes  []uint64
}

func (f *inflights) full() bool {
	return len(f.indexes) >= f.capacity
}

func (f *inflights) add(last uint64) {
	f.indexes = append(f.indexes, last)
}

// freeTo drops the messages whose last entry is at or before index.
func (f *inflights) freeTo(index uint64) {
	n := 0
	for n < len(f.indexes) && f.indexes[n] <= index {
		n++
	}
	f.indexes = f.indexes[n:]
}

// freeFirst drops the oldest message, since its response may be lost.
func (f *inflights) freeFirst() {
	if len(f.indexes) > 0 {
		f.indexes = f.indexes[1:]
	}
}

func (f *inflights) reset() {
	f.indexes = nil
}
