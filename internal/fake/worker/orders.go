package worker

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// errNoLease says that the leader answered without granting a lease.
var errNoLease = errors.New("no lease was granted")

// accept takes over an answer: the lease, then the orders.
func (w *Worker) accept(response *apiv1.RenewWorkerResponse, extend func(time.Duration)) error {
	length := time.Duration(response.GetLeaseMs()) * time.Millisecond
	if length == 0 {
		return errNoLease
	}
	extend(length)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range response.GetAcknowledged() {
		w.forget(id)
	}
	if response.GetOrdersUnchanged() {
		return nil
	}
	w.seen = response.GetOrdersRevision()
	for _, order := range response.GetOrders() {
		w.carryOut(order)
	}
	return nil
}

// forget drops an ended attempt.
func (w *Worker) forget(id string) {
	if t, ok := w.tasks[id]; ok && t.ended() {
		delete(w.tasks, id)
	}
}

func (w *Worker) carryOut(order *apiv1.Order) {
	id := order.GetAttempt().GetId()
	t, known := w.tasks[id]
	switch order.GetKind() {
	case apiv1.Order_KIND_RUN:
		if !known {
			w.start(order)
		}
	case apiv1.Order_KIND_STOP, apiv1.Order_KIND_CHECKPOINT_STOP:
		if !known {
			// The mark keeps a late order to run it from starting it.
			w.tasks[id] = &task{phase: apiv1.AttemptReport_PHASE_NEVER_STARTED}
			w.announce()
			return
		}
		t.checkpoint = order.GetKind() == apiv1.Order_KIND_CHECKPOINT_STOP
		t.halt()
	}
}

// halt tells the task to stop.
func (t *task) halt() {
	if t.ended() || t.stopped {
		return
	}
	t.stopped = true
	t.stop()
}

// start runs an attempt that the worker has not seen before.
func (w *Worker) start(order *apiv1.Order) {
	attempt := order.GetAttempt()
	if attempt.GetBoot() != w.options.Boot || !w.holder.Valid() {
		return
	}
	if w.options.CanStart != nil {
		if err := w.options.CanStart(attempt); err != nil {
			w.tasks[attempt.GetId()] = &task{phase: apiv1.AttemptReport_PHASE_NEVER_STARTED, detail: err.Error()}
			w.announce()
			return
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &task{phase: apiv1.AttemptReport_PHASE_RUNNING, stop: cancel}
	w.tasks[attempt.GetId()] = t
	w.announce()
	w.running.Add(1)
	go func() {
		defer w.running.Done()
		defer cancel()
		if w.options.OnStart != nil {
			w.options.OnStart(ctx, attempt, order.GetCommand())
		}
		w.ended(t, w.options.RunTask(ctx, attempt, order.GetCommand()))
	}()
}

func (w *Worker) ended(t *task, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.settle(err)
	w.announce()
}

// stopAll stops every task.
func (w *Worker) stopAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		t.halt()
	}
}
