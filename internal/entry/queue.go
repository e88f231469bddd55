package entry

import (
	"sort"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// classesByUrgency lists the classes, most urgent first.
var classesByUrgency = []apiv1.Class{
	apiv1.Class_CLASS_URGENT,
	apiv1.Class_CLASS_NORMAL,
	apiv1.Class_CLASS_BULK,
}

// queue holds the waiting requests of one service. It is a priority queue by
// class, fair among the callers of a class. It is not safe for concurrent use.
type queue struct {
	waiters map[apiv1.Class]map[string][]*waiter // by class and caller; earliest deadline first
	size    int
}

func newQueue() *queue {
	q := &queue{waiters: make(map[apiv1.Class]map[string][]*waiter)}
	for _, class := range classesByUrgency {
		q.waiters[class] = make(map[string][]*waiter)
	}
	return q
}

func (q *queue) add(w *waiter) {
	list := q.waiters[w.class][w.caller]
	at := sort.Search(len(list), func(i int) bool { return list[i].deadline.After(w.deadline) })
	list = append(list, nil)
	copy(list[at+1:], list[at:])
	list[at] = w
	q.waiters[w.class][w.caller] = list
	q.size++
}

// remove removes a waiter and reports whether it was queued.
func (q *queue) remove(w *waiter) bool {
	list := q.waiters[w.class][w.caller]
	for i, other := range list {
		if other != w {
			continue
		}
		if len(list) == 1 {
			delete(q.waiters[w.class], w.caller)
		} else {
			q.waiters[w.class][w.caller] = append(list[:i:i], list[i+1:]...)
		}
		q.size--
		return true
	}
	return false
}

// leastUrgent returns the waiter to shed: in the least urgent class with waiters,
// of the caller with most of them, the one with the latest deadline. It is nil if
// the queue is empty.
func (q *queue) leastUrgent() *waiter {
	for i := len(classesByUrgency) - 1; i >= 0; i-- {
		var longest []*waiter
		for caller, list := range q.waiters[classesByUrgency[i]] {
			if len(list) > len(longest) || len(list) == len(longest) && caller < longest[0].caller {
				longest = list
			}
		}
		if len(longest) > 0 {
			return longest[len(longest)-1]
		}
	}
	return nil
}

// countAhead counts the waiters that are expected to be served before w, by class
// and deadline.
func (q *queue) countAhead(w *waiter) int {
	count := 0
	for _, class := range classesByUrgency {
		for _, list := range q.waiters[class] {
			if class < w.class {
				count += len(list)
				continue
			}
			count += sort.Search(len(list), func(i int) bool { return list[i].deadline.After(w.deadline) })
		}
		if class == w.class {
			break
		}
	}
	return count
}

// inOrder calls visit with the first waiter of each caller and class, in the
// order of service, until visit returns false. The order is by class, then by
// the caller's requests in flight, fewest first, then by deadline. Visit may
// remove the waiter.
func (q *queue) inOrder(inFlight map[string]int, visit func(w *waiter) bool) {
	for _, class := range classesByUrgency {
		heads := q.heads(class)
		sort.Slice(heads, func(i, j int) bool { return servedBefore(heads[i], heads[j], inFlight) })
		for _, w := range heads {
			if !visit(w) {
				return
			}
		}
	}
}

// heads returns the first waiter of each caller in the class.
func (q *queue) heads(class apiv1.Class) []*waiter {
	heads := make([]*waiter, 0, len(q.waiters[class]))
	for _, list := range q.waiters[class] {
		heads = append(heads, list[0])
	}
	return heads
}

// servedBefore reports whether a is served before b of the same class.
func servedBefore(a, b *waiter, inFlight map[string]int) bool {
	if x, y := inFlight[a.caller], inFlight[b.caller]; x != y {
		return x < y
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.caller < b.caller
}
