package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// restricted is a queue whose tasks need the policy service's tickets.
func restricted() *apiv1.Queue {
	q := testQueue()
	q.Policy = &apiv1.PlacementPolicy{DecisionMs: 1, ValidityMs: 500}
	return q
}

// pool of one-core workers, of which the policy allows only the last ones.
func restrictedWorld(t *testing.T, workers, allowed int) (*world, []*fakeWorker) {
	var all []*fakeWorker
	for i := range workers {
		all = append(all, newFakeWorker(fmt.Sprintf("w%03d", i), 1000))
	}
	w := newWorld(t, all...)
	w.denied = make(map[string]bool)
	for _, one := range all[:workers-allowed] {
		w.denied[one.record.GetId()] = true
	}
	return w, all
}

func countRunning(all []*fakeWorker) int {
	total := 0
	for _, one := range all {
		total += len(one.running())
	}
	return total
}

func TestTasksCarryTheirTickets(t *testing.T) {
	is := is.New(t)
	w, all := restrictedWorld(t, 1, 1)
	w.lead()
	w.submitAt(restricted(), "job", tasks(1, 1000))
	w.eventually("the task runs", func() bool { return countRunning(all) == 1 })
	is.Equal(all[0].starts[0].Ticket, "t-w000")
}

// A gang for which the first answer allows too few workers asks about others,
// however little of the pool it may keep.
func TestGangAsksUntilEnoughWorkersAreAllowed(t *testing.T) {
	w, all := restrictedWorld(t, 120, 12)
	w.lead()
	gang := tasks(12, 1000)
	gang.Gang = true
	w.submitAt(restricted(), "gang", gang)
	w.eventually("the gang runs", func() bool { return countRunning(all) == 12 })
}

// Tickets expire while a gang waits for room.
func TestWaitingGangRenewsItsTickets(t *testing.T) {
	w, all := restrictedWorld(t, 2, 2)
	w.lead()
	w.submit("small", tasks(2, 1000))
	w.eventually("the pool is full", func() bool { return countRunning(all) == 2 })
	gang := tasks(2, 1000)
	gang.Gang = true
	w.submitAt(restricted(), "gang", gang)
	w.eventually("the gang has asked", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.advised) > 0
	})
	for _, one := range all {
		one.finish(done)
	}
	w.eventually("the gang runs", func() bool { return countRunning(all) == 2 })
}
