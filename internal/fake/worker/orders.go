package worker

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// errNoLease is returned if a response to a renewal grants no lease.
var errNoLease = errors.New("no lease was granted")

// applyResponse processes the response to a renewal: it extends the lease, removes
// the acknowledged attempts and applies the orders.
func (w *Worker) applyResponse(response *apiv1.RenewWorkerResponse, extendLease func(time.Duration)) error {
	duration := time.Duration(response.GetLeaseMs()) * time.Millisecond
	if duration == 0 {
		return errNoLease
	}
	extendLease(duration)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range response.GetAcknowledged() {
		w.removeEnded(id)
	}
	if response.GetOrdersUnchanged() {
		return nil
	}
	w.ordersSeen = response.GetOrdersRevision()
	for _, order := range response.GetOrders() {
		w.applyOrder(order)
	}
	return nil
}

// removeEnded removes an attempt unless it is still running. The caller holds the
// lock.
func (w *Worker) removeEnded(id string) {
	if t, ok := w.tasks[id]; ok && t.ended() {
		delete(w.tasks, id)
	}
}

// applyOrder starts or stops an attempt. The caller holds the lock.
func (w *Worker) applyOrder(order *apiv1.Order) {
	id := order.GetAttempt().GetId()
	t, known := w.tasks[id]
	switch order.GetKind() {
	case apiv1.Order_KIND_RUN:
		if !known {
			w.startAttempt(order)
		}
	case apiv1.Order_KIND_STOP, apiv1.Order_KIND_CHECKPOINT_STOP:
		if !known {
			// Recorded so that a delayed order to run it doesn't start it.
			w.tasks[id] = &task{phase: apiv1.AttemptReport_PHASE_NEVER_STARTED}
			w.wakeLongPoll()
			return
		}
		t.checkpointRequested = order.GetKind() == apiv1.Order_KIND_CHECKPOINT_STOP
		t.requestStop()
	}
}

// requestStop cancels the task's context. The caller holds the lock.
func (t *task) requestStop() {
	if t.ended() || t.stopRequested {
		return
	}
	t.stopRequested = true
	t.stop()
}

// startAttempt runs an attempt that the worker has not seen before, if the order is
// for this incarnation and the lease is valid. The caller holds the lock.
func (w *Worker) startAttempt(order *apiv1.Order) {
	attempt := order.GetAttempt()
	if attempt.GetBoot() != w.options.Boot || !w.leaseHolder.Valid() {
		return
	}
	if w.options.CanStart != nil {
		if err := w.options.CanStart(attempt); err != nil {
			w.tasks[attempt.GetId()] = &task{phase: apiv1.AttemptReport_PHASE_NEVER_STARTED, detail: err.Error()}
			w.wakeLongPoll()
			return
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &task{phase: apiv1.AttemptReport_PHASE_RUNNING, stop: cancel}
	w.tasks[attempt.GetId()] = t
	w.wakeLongPoll()
	w.running.Add(1)
	go func() {
		defer w.running.Done()
		defer cancel()
		if w.options.OnStart != nil {
			w.options.OnStart(ctx, attempt, order.GetCommand())
		}
		w.recordEnd(t, w.options.Run(ctx, attempt, order.GetCommand()))
	}()
}

// recordEnd records the outcome of a task and wakes the long poll to report it.
func (w *Worker) recordEnd(t *task, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.setOutcome(err)
	w.wakeLongPoll()
}

// stopAllTasks cancels the contexts of all running tasks.
func (w *Worker) stopAllTasks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		t.requestStop()
	}
}
