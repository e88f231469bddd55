package dispatch

// workerSet is a set of workers of one pool, by their slots. A slot is used again after its worker is lost, so
// a set may hold workers that were added later.
type workerSet []uint64

const slotsPerWord = 64

func (s *workerSet) add(w *worker) {
	for len(*s) <= w.slot/slotsPerWord {
		*s = append(*s, 0)
	}
	(*s)[w.slot/slotsPerWord] |= 1 << (w.slot % slotsPerWord)
}

func (s workerSet) has(w *worker) bool {
	return w.slot/slotsPerWord < len(s) && s[w.slot/slotsPerWord]&(1<<(w.slot%slotsPerWord)) != 0
}

// workerSlots assigns small numbers to the workers of a pool.
type workerSlots struct {
	free []int
	next int // the lowest that was never assigned
}

func (s *workerSlots) take() int {
	if last := len(s.free) - 1; last >= 0 {
		slot := s.free[last]
		s.free = s.free[:last]
		return slot
	}
	s.next++
	return s.next - 1
}

func (s *workerSlots) release(slot int) { s.free = append(s.free, slot) }
