package placement

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/state/tasks"
	"github.com/pistachioport/pistachioport/internal/workercall"
)

// maxWaitDivisor bounds how long a renewal waits for orders: the lease length
// divided by it.
const maxWaitDivisor = 4

var _ workercall.Leader = (*leader)(nil)

// leader serves workers' renewals for a controller.
type leader struct {
	controller *Controller
}

// Renew applies a worker's reports, renews its lease and returns its orders.
func (l *leader) Renew(ctx context.Context, renewal *workercall.Renewal) (*workercall.Grant, error) {
	t := l.controller.term.Load()
	if t == nil {
		return nil, workercall.ErrNotLeader
	}
	grant, err := t.renew(ctx, renewal)
	if errors.IsAny(err, replica.ErrNotLeader, replica.ErrIndeterminate) {
		return nil, workercall.ErrNotLeader
	}
	if err != nil && ctx.Err() == nil && t.ended() {
		return nil, workercall.ErrNotLeader
	}
	return grant, err
}

// ended reports whether the term has ended.
func (t *term) ended() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

func (t *term) renew(ctx context.Context, r *workercall.Renewal) (*workercall.Grant, error) {
	t.counters.renewals.Inc(1)
	if err := t.barrier.wait(ctx); err != nil {
		return nil, err
	}
	registered, err := t.register(ctx, r.Worker)
	if err != nil {
		return nil, err
	}
	if !registered {
		return &workercall.Grant{}, nil // the lease of the worker's previous boot has not expired yet
	}
	t.usage.record(r.Worker.GetName(), r.Usage)
	if err := t.commitReports(ctx, r); err != nil {
		return nil, err
	}
	grant, err := t.awaitOrders(ctx, r)
	if err != nil {
		return nil, err
	}
	return grant, t.extendLease(r.Worker, grant)
}

// extendLease extends the worker's lease. It fails if the lease is being ended or has
// ended.
func (t *term) extendLease(w *apiv1.Worker, grant *workercall.Grant) error {
	if t.ended() {
		return workercall.ErrNotLeader
	}
	if !t.granter.GrantRenewal(leaseHolder(w.GetName(), w.GetBoot())) {
		return workercall.ErrLeaseEnding
	}
	registered, alive, _ := t.config.Tasks.WorkerBoot(w.GetName(), w.GetBoot())
	if registered != w.GetBoot() || !alive {
		return workercall.ErrLeaseEnding
	}
	grant.LeaseLength = t.granter.Length()
	return nil
}

// register ensures that the worker's boot is registered and alive. It returns false
// while an earlier boot of the worker may still hold its lease.
func (t *term) register(ctx context.Context, w *apiv1.Worker) (bool, error) {
	registered, alive, superseded := t.config.Tasks.WorkerBoot(w.GetName(), w.GetBoot())
	switch {
	case superseded:
		return false, errors.Wrapf(workercall.ErrSuperseded, "boot %q of worker %q", w.GetBoot(), w.GetName())
	case registered == w.GetBoot() && alive:
		return true, nil
	case registered != w.GetBoot() && alive:
		return false, nil
	}
	// The lease must start before the table lists the worker as alive. Otherwise it
	// would be found expired at once.
	if !t.granter.GrantRenewal(leaseHolder(w.GetName(), w.GetBoot())) {
		return false, workercall.ErrLeaseEnding
	}
	return true, t.commitRegistration(ctx, w)
}

func (t *term) commitRegistration(ctx context.Context, w *apiv1.Worker) error {
	err := t.batcher.submit(ctx, &apiv1.PlacementCommand{Register: []*apiv1.Worker{w}})
	if err == nil {
		t.config.Logger.Info("worker registered", "worker", w.GetName(), "boot", w.GetBoot())
	}
	return err
}

// commitReports commits those of the worker's reports that change the table.
func (t *term) commitReports(ctx context.Context, r *workercall.Renewal) error {
	command := &apiv1.PlacementCommand{}
	for _, report := range r.Reports {
		report.Worker = r.Worker.GetName()
		report.Boot = r.Worker.GetBoot()
		if t.config.Tasks.WouldChange(report) {
			command.Reports = append(command.Reports, report)
		}
	}
	if len(command.Reports) == 0 {
		return nil
	}
	t.counters.reports.Inc(int64(len(command.Reports)))
	return t.batcher.submit(ctx, command)
}

// awaitOrders waits until the worker's orders differ from those that it has seen, or
// there are ended attempts to acknowledge. It returns unchanged orders after the
// wait that the worker asked for, at most a quarter of the lease length.
func (t *term) awaitOrders(ctx context.Context, r *workercall.Renewal) (*workercall.Grant, error) {
	wait := min(r.MaxWait, t.config.LeaseLength/maxWaitDivisor)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		orders := t.config.Tasks.Orders(r.Worker.GetName(), r.Worker.GetBoot(), r.OrdersSeen)
		if !orders.Known {
			return nil, workercall.ErrLeaseEnding
		}
		grant := t.newGrant(r, orders)
		if !grant.OrdersUnchanged || len(grant.Acknowledged) > 0 {
			return grant, nil
		}
		select {
		case <-orders.Changed:
		case <-timer.C:
			return grant, nil
		case <-t.done:
			return nil, workercall.ErrNotLeader
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// newGrant builds the response to a renewal. It adds an order to stop for each
// reported attempt that the worker must not run, and acknowledges ended ones.
func (t *term) newGrant(r *workercall.Renewal, orders tasks.Orders) *workercall.Grant {
	var ended []string
	var stops []*apiv1.Order
	for _, report := range r.Reports {
		switch {
		case t.config.Tasks.HoldsAttempt(report.GetWorker(), report.GetBoot(), report.GetAttempt()):
		case isTerminal(report.GetPhase()):
			ended = append(ended, report.GetAttempt())
		default:
			stops = append(stops, stopOrder(report))
		}
	}
	if len(stops) > 0 && orders.Revision == r.OrdersSeen {
		orders = t.config.Tasks.Orders(r.Worker.GetName(), r.Worker.GetBoot(), tasks.NoRevision)
	}
	return &workercall.Grant{
		OrdersRevision:  orders.Revision,
		OrdersUnchanged: orders.Revision == r.OrdersSeen && len(stops) == 0,
		Orders:          append(orders.Orders, stops...),
		Acknowledged:    ended,
	}
}

// stopOrder returns an order to stop an attempt that the worker no longer holds.
func stopOrder(report *apiv1.AttemptReport) *apiv1.Order {
	return &apiv1.Order{
		Kind: apiv1.Order_KIND_STOP,
		Attempt: &apiv1.Attempt{
			Id:     report.GetAttempt(),
			Worker: report.GetWorker(),
			Boot:   report.GetBoot(),
		},
	}
}

func isTerminal(phase apiv1.AttemptReport_Phase) bool {
	switch phase {
	case apiv1.AttemptReport_PHASE_SUCCEEDED, apiv1.AttemptReport_PHASE_FAILED,
		apiv1.AttemptReport_PHASE_STOPPED, apiv1.AttemptReport_PHASE_NEVER_STARTED:
		return true
	default:
		return false
	}
}
