package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	metrics "github.com/rcrowley/go-metrics"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/balance"
)

const (
	serviceTimeSampleWeight = 0.05 // of the newest sample in the moving average
	minServiceTimeSamples   = 20   // below this, no request is refused on an estimate
)

// service holds the endpoint pool of one service and the queue of requests that
// wait for a slot in it. It is safe for concurrent use.
type service struct {
	name        string
	pool        *balance.Pool
	limits      Limits
	retryBudget *balance.RetryBudget
	crashes     *crashRecords
	waitTimer   metrics.Timer // queueing time of requests that got a slot after waiting; may be nil

	mu                  sync.Mutex
	queue               *queue
	inFlight            map[string]int // by caller
	smoothedServiceTime time.Duration  // exponential moving average of the time a request holds its slot
	samples             int
	onStarved           func() // called when the first request is queued while no slot is granted; may be nil
}

func newService(name string, pool *balance.Pool, limits Limits) *service {
	return &service{
		name:        name,
		pool:        pool,
		limits:      limits,
		retryBudget: balance.NewRetryBudget(),
		crashes:     newCrashRecords(),
		queue:       newQueue(),
		inFlight:    make(map[string]int),
	}
}

// tryAcquire takes a slot if one is free and no request is queued.
func (s *service) tryAcquire(w *waiter) (*balance.Slot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.size > 0 {
		return nil, false
	}
	now := time.Now()
	slot, ok := s.pool.Acquire(now, w.slotRequest(now, s.limits.SpillAfter))
	if ok {
		s.inFlight[w.caller]++
	}
	return slot, ok
}

// acquire takes a slot, waiting for it until the waiter's deadline. The problem
// is the reason for which there is none.
func (s *service) acquire(ctx context.Context, w *waiter) (*balance.Slot, *problem) {
	if slot, ok := s.tryAcquire(w); ok {
		return slot, nil
	}
	slot, refusal := s.awaitSlot(ctx, w)
	if refusal == nil && s.waitTimer != nil {
		s.waitTimer.UpdateSince(w.queuedAt)
	}
	return slot, refusal
}

// awaitSlot queues the waiter until it is granted a slot, shed, past its
// deadline, or ctx ends.
func (s *service) awaitSlot(ctx context.Context, w *waiter) (*balance.Slot, *problem) {
	if refusal := s.enqueue(w); refusal != nil {
		return nil, refusal
	}
	deadline := time.NewTimer(time.Until(w.deadline))
	defer deadline.Stop()
	select {
	case slot, ok := <-w.granted:
		if !ok {
			return nil, s.queueFull()
		}
		return slot, nil
	case <-deadline.C:
	case <-ctx.Done():
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return s.stopWaiting(w, notRun(statusClientClosedRequest, codeCallerGone, "the caller closed its connection"))
		}
	}
	return s.stopWaiting(w, notRun(http.StatusServiceUnavailable, codeDeadlinePassed,
		"no slot of service %q came free before the deadline", s.name))
}

// enqueue adds the waiter to the queue, or refuses it if its deadline is not
// expected to be met. A full queue sheds its least urgent waiter, which may be
// the new one.
func (s *service) enqueue(w *waiter) *problem {
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait := s.estimateCompletion(w); time.Now().Add(wait).After(w.deadline) {
		return notRun(http.StatusServiceUnavailable, codeDeadlineUnreachable,
			"service %q is expected to have a free slot in %v, after the deadline", s.name, wait.Round(time.Millisecond)).
			withRetry(wait)
	}
	s.queue.add(w)
	if s.onStarved != nil && s.queue.size == 1 && s.pool.Usage(time.Now()).Slots == 0 {
		s.onStarved()
	}
	if s.queue.size > s.limits.MaxQueueLength {
		leastUrgent := s.queue.leastUrgent()
		s.queue.remove(leastUrgent)
		close(leastUrgent.granted)
	}
	s.dispatchLocked()
	return nil
}

// queueFull returns the problem sent to a waiter that was shed.
func (s *service) queueFull() *problem {
	return notRun(http.StatusServiceUnavailable, codeQueueFull,
		"the queue of service %q is full of more urgent requests", s.name).withRetry(time.Second)
}

// estimateCompletion returns the expected time for which the waiter will wait and
// then hold its slot, or 0 while there are too few samples. s.mu must be held.
func (s *service) estimateCompletion(w *waiter) time.Duration {
	slots := s.pool.Usage(time.Now()).Slots
	if s.samples < minServiceTimeSamples || slots == 0 {
		return 0
	}
	rounds := float64(s.queue.countAhead(w)+1)/float64(slots) + 1
	return time.Duration(rounds * float64(s.smoothedServiceTime))
}

// stopWaiting removes the waiter from the queue and returns the reason. If the
// waiter was granted a slot in the meantime, it returns that slot.
func (s *service) stopWaiting(w *waiter, reason *problem) (*balance.Slot, *problem) {
	s.mu.Lock()
	removed := s.queue.remove(w)
	s.mu.Unlock()
	if removed {
		return nil, reason
	}
	if slot, ok := <-w.granted; ok {
		return slot, nil
	}
	return nil, s.queueFull()
}

// release returns a slot to the pool, records how long it was held, and grants
// free slots to waiters.
func (s *service) release(w *waiter, slot *balance.Slot, held time.Duration, result balance.Result) {
	slot.Release(time.Now(), result)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[w.caller]--; s.inFlight[w.caller] <= 0 {
		delete(s.inFlight, w.caller)
	}
	if !result.Inconclusive && !result.Failed {
		s.recordServiceTime(held)
	}
	s.dispatchLocked()
}

// recordServiceTime updates the moving average. s.mu must be held.
func (s *service) recordServiceTime(held time.Duration) {
	s.samples++
	if s.samples == 1 {
		s.smoothedServiceTime = held
		return
	}
	s.smoothedServiceTime += time.Duration(serviceTimeSampleWeight * float64(held-s.smoothedServiceTime))
}

// meanServiceTime returns the average time for which a request holds its slot,
// or 0 while there are too few samples.
func (s *service) meanServiceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.samples < minServiceTimeSamples {
		return 0
	}
	return s.smoothedServiceTime
}

// update replaces the endpoints and grants, and grants free slots to waiters.
func (s *service) update(endpoints []*apiv1.Endpoint, grants map[string]*apiv1.SlotHold) {
	s.pool.Update(time.Now(), endpoints, grants)
	s.dispatch()
}

// dispatch grants free slots to waiters.
func (s *service) dispatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatchLocked()
}

// dispatchLocked is dispatch with s.mu held.
func (s *service) dispatchLocked() {
	for s.queue.size > 0 && s.pool.HasFreeSlot(time.Now()) && s.dispatchOne() {
	}
}

// dispatchOne grants one slot to the first waiter that can use one, and reports
// whether there was such a waiter. s.mu must be held.
func (s *service) dispatchOne() bool {
	now := time.Now()
	served := false
	s.queue.inOrder(s.inFlight, func(w *waiter) bool {
		slot, ok := s.pool.Acquire(now, w.slotRequest(now, s.limits.SpillAfter))
		if !ok {
			return true
		}
		s.queue.remove(w)
		s.inFlight[w.caller]++
		w.granted <- slot
		served = true
		return false
	})
	return served
}

// demand returns the current numbers of requests in flight and waiting.
func (s *service) demand() *apiv1.ServiceDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &apiv1.ServiceDemand{
		Service:  s.name,
		InFlight: int32(s.pool.Usage(time.Now()).InFlight),
		Waiting:  int32(s.queue.size),
	}
}
