package raft

// inflights is the window of append messages sent to a follower and not yet
// acknowledged. It holds the last index of each, in ascending order.
type inflights struct {
	capacity int
	indexes  []uint64
}

func (f *inflights) full() bool {
	return len(f.indexes) >= f.capacity
}

func (f *inflights) add(last uint64) {
	f.indexes = append(f.indexes, last)
}

// freeTo drops the messages that end at or before index.
func (f *inflights) freeTo(index uint64) {
	n := 0
	for n < len(f.indexes) && f.indexes[n] <= index {
		n++
	}
	f.indexes = f.indexes[n:]
}

// freeFirst drops the oldest message, whose answer may be lost.
func (f *inflights) freeFirst() {
	if len(f.indexes) > 0 {
		f.indexes = f.indexes[1:]
	}
}

func (f *inflights) reset() {
	f.indexes = nil
}
