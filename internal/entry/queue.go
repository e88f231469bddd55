package entry

import (
	"sort"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// classes lists the classes, most urgent first.
var classes = []apiv1.Class{
	apiv1.Class_CLASS_URGENT,
	apiv1.Class_CLASS_NORMAL,
	apiv1.Class_CLASS_BULK,
}

// queue holds the waiting requests of one service. It is not safe for
// concurrent use.
type queue struct {
	lines map[apiv1.Class]map[string][]*waiter // by class and caller; earliest deadline first
	size  int
}

func newQueue() *queue {
	q := &queue{lines: make(map[apiv1.Class]map[string][]*waiter)}
	for _, class := range classes {
		q.lines[class] = make(map[string][]*waiter)
	}
	return q
}

func (q *queue) add(w *waiter) {
	line := q.lines[w.class][w.caller]
	at := sort.Search(len(line), func(i int) bool { return line[i].deadline.After(w.deadline) })
	line = append(line, nil)
	copy(line[at+1:], line[at:])
	line[at] = w
	q.lines[w.class][w.caller] = line
	q.size++
}

// remove takes a waiter out and reports whether it was there.
func (q *queue) remove(w *waiter) bool {
	line := q.lines[w.class][w.caller]
	for i, other := range line {
		if other != w {
			continue
		}
		if len(line) == 1 {
			delete(q.lines[w.class], w.caller)
		} else {
			q.lines[w.class][w.caller] = append(line[:i:i], line[i+1:]...)
		}
		q.size--
		return true
	}
	return false
}

// victim returns the waiter to shed: of the least urgent class, of the caller
// who has most requests waiting there, the one with the latest deadline.
func (q *queue) victim() *waiter {
	for i := len(classes) - 1; i >= 0; i-- {
		var longest []*waiter
		for caller, line := range q.lines[classes[i]] {
			if len(line) > len(longest) || len(line) == len(longest) && caller < longest[0].caller {
				longest = line
			}
		}
		if len(longest) > 0 {
			return longest[len(longest)-1]
		}
	}
	return nil
}

// ahead counts the waiters that are served before one of the class and
// deadline.
func (q *queue) ahead(w *waiter) int {
	count := 0
	for _, class := range classes {
		for _, line := range q.lines[class] {
			if class < w.class {
				count += len(line)
				continue
			}
			count += sort.Search(len(line), func(i int) bool { return line[i].deadline.After(w.deadline) })
		}
		if class == w.class {
			break
		}
	}
	return count
}

// inOrder calls visit with each waiter in the order of service until it
// returns false: by class, then of the caller with the fewest requests in
// flight, then by deadline. Visit may remove the waiter.
func (q *queue) inOrder(inFlight map[string]int, visit func(w *waiter) bool) {
	for _, class := range classes {
		heads := q.heads(class)
		sort.Slice(heads, func(i, j int) bool { return before(heads[i], heads[j], inFlight) })
		for _, w := range heads {
			if !visit(w) {
				return
			}
		}
	}
}

// heads returns each caller's first waiter of a class.
func (q *queue) heads(class apiv1.Class) []*waiter {
	heads := make([]*waiter, 0, len(q.lines[class]))
	for _, line := range q.lines[class] {
		heads = append(heads, line[0])
	}
	return heads
}

func before(a, b *waiter, inFlight map[string]int) bool {
	if x, y := inFlight[a.caller], inFlight[b.caller]; x != y {
		return x < y
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.caller < b.caller
}
