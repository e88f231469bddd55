package replica

import "time"

// modelEvent is something that happens at a time.
type modelEvent struct {
	at       time.Time
	sequence int // of two at the same time the one with the lower number is first
	run      func()
}

// modelEvents is a heap of events.
type modelEvents struct {
	items []modelEvent
	last  int
}

func (e *modelEvents) next() int {
	e.last++
	return e.last
}

func (e *modelEvents) Len() int { return len(e.items) }

func (e *modelEvents) Less(i, j int) bool {
	a, b := e.items[i], e.items[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.sequence < b.sequence
}

func (e *modelEvents) Swap(i, j int) { e.items[i], e.items[j] = e.items[j], e.items[i] }

func (e *modelEvents) Push(x any) { e.items = append(e.items, x.(modelEvent)) }

func (e *modelEvents) Pop() any {
	last := e.items[len(e.items)-1]
	e.items = e.items[:len(e.items)-1]
	return last
}
