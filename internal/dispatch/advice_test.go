package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// restrictedQueue returns a queue whose tasks need tickets of the policy service.
func restrictedQueue() *apiv1.Queue {
	q := testQueue()
	q.Policy = &apiv1.PlacementPolicy{DecisionMs: 1, ValidityMs: 500}
	return q
}

// newRestrictedCluster returns a cluster of one-core workers, of which the policy
// allows only the last ones.
func newRestrictedCluster(t *testing.T, workers, allowed int) (*testCluster, []*fakeWorker) {
	var fakes []*fakeWorker
	for i := range workers {
		fakes = append(fakes, newFakeWorker(fmt.Sprintf("w%03d", i), 1000))
	}
	c := newTestCluster(t, fakes...)
	c.deniedWorkers = make(map[string]bool)
	for _, one := range fakes[:workers-allowed] {
		c.deniedWorkers[one.record.GetId()] = true
	}
	return c, fakes
}

// countRunning returns the number of active runs on all the workers.
func countRunning(fakes []*fakeWorker) int {
	total := 0
	for _, one := range fakes {
		total += len(one.running())
	}
	return total
}

func TestStartRequestsCarryTickets(t *testing.T) {
	is := is.New(t)
	c, fakes := newRestrictedCluster(t, 1, 1)
	c.startLeader()
	c.submitTo(restrictedQueue(), "job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return countRunning(fakes) == 1 })
	is.Equal(fakes[0].starts[0].Ticket, "t-w000")
}

// If the first answer allows too few workers for a gang, advice about other
// workers is requested, however few of the pool's workers are allowed.
func TestGangAsksUntilEnoughWorkersAreAllowed(t *testing.T) {
	c, fakes := newRestrictedCluster(t, 120, 12)
	c.startLeader()
	gang := stepOf(12, 1000)
	gang.Gang = true
	c.submitTo(restrictedQueue(), "gang", gang)
	c.eventually("the gang runs", func() bool { return countRunning(fakes) == 12 })
}

// Tickets expire while a gang waits for free capacity, and must be renewed.
func TestWaitingGangRenewsItsTickets(t *testing.T) {
	c, fakes := newRestrictedCluster(t, 2, 2)
	c.startLeader()
	c.submit("small", stepOf(2, 1000))
	c.eventually("the pool is full", func() bool { return countRunning(fakes) == 2 })
	gang := stepOf(2, 1000)
	gang.Gang = true
	c.submitTo(restrictedQueue(), "gang", gang)
	c.eventually("advice for the gang was requested", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.adviceCalls) > 0
	})
	for _, one := range fakes {
		one.finishAll(done)
	}
	c.eventually("the gang runs", func() bool { return countRunning(fakes) == 2 })
}
