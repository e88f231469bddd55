package raft

// recentMax is the largest of the values recorded lately: in the current window of ticks and in the one before.
type recentMax struct {
	window   int // ticks
	ticks    int // of the current window that have passed
	current  int
	previous int
}

func (r *recentMax) tick() {
	if r.ticks++; r.ticks >= r.window {
		r.ticks, r.previous, r.current = 0, r.current, 0
	}
}

func (r *recentMax) record(value int) { r.current = max(r.current, value) }

func (r *recentMax) value() int { return max(r.current, r.previous) }

func (r *recentMax) reset() { r.ticks, r.current, r.previous = 0, 0, 0 }
