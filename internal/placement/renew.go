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

// maxWaitShare bounds how long a renewal waits for orders, as a divisor of the
// lease's length.
const maxWaitShare = 4

var _ workercall.Leader = (*leader)(nil)

// leader serves renewals for a duty.
type leader struct {
	duty *Controller
}

// Renew takes a worker's word, renews its lease and returns its orders.
func (l *leader) Renew(ctx context.Context, renewal *workercall.Renewal) (*workercall.Grant, error) {
	t := l.duty.term.Load()
	if t == nil {
		return nil, workercall.ErrNotLeader
	}
	grant, err := t.renew(ctx, renewal)
	if errors.IsAny(err, replica.ErrNotLeader, replica.ErrUnknownFate) {
		return nil, workercall.ErrNotLeader
	}
	if err != nil && ctx.Err() == nil && t.over() {
		return nil, workercall.ErrNotLeader
	}
	return grant, err
}

// over reports whether the term has ended.
func (t *term) over() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

func (t *term) renew(ctx context.Context, r *workercall.Renewal) (*workercall.Grant, error) {
	t.counts.renewals.Inc(1)
	if err := t.barrier.wait(ctx); err != nil {
		return nil, err
	}
	registered, err := t.register(ctx, r.Worker)
	if err != nil {
		return nil, err
	}
	if !registered {
		return &workercall.Grant{}, nil // the lease of the worker's last boot still runs
	}
	t.usage.note(r.Worker.GetName(), r.Usage)
	if err := t.report(ctx, r); err != nil {
		return nil, err
	}
	grant, err := t.await(ctx, r)
	if err != nil {
		return nil, err
	}
	return grant, t.answer(r.Worker, grant)
}

// answer extends the lease, unless its end is being decided or decided.
func (t *term) answer(w *apiv1.Worker, grant *workercall.Grant) error {
	if t.over() {
		return workercall.ErrNotLeader
	}
	if !t.granter.GrantRenewal(holder(w.GetName(), w.GetBoot())) {
		return workercall.ErrLeaseEnding
	}
	registered, alive, _ := t.config.Tasks.WorkerBoot(w.GetName(), w.GetBoot())
	if registered != w.GetBoot() || !alive {
		return workercall.ErrLeaseEnding
	}
	grant.LeaseLength = t.granter.Length()
	return nil
}

// register makes the worker's boot known and alive. It returns false while an
// earlier boot of the worker may still hold its lease.
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
	// The account starts before the table counts the worker as alive, so that
	// the lease is not found to have run out at once.
	if !t.granter.GrantRenewal(holder(w.GetName(), w.GetBoot())) {
		return false, workercall.ErrLeaseEnding
	}
	return true, t.commitWorker(ctx, w)
}

func (t *term) commitWorker(ctx context.Context, w *apiv1.Worker) error {
	err := t.commits.submit(ctx, &apiv1.PlacementCommand{Register: []*apiv1.Worker{w}})
	if err == nil {
		t.config.Logger.Info("worker registered", "worker", w.GetName(), "boot", w.GetBoot())
	}
	return err
}

// report commits those of the worker's reports that say something new.
func (t *term) report(ctx context.Context, r *workercall.Renewal) error {
	command := &apiv1.PlacementCommand{}
	for _, m := range r.Reports {
		m.Worker = r.Worker.GetName()
		m.Boot = r.Worker.GetBoot()
		if t.config.Tasks.WouldChange(m) {
			command.Reports = append(command.Reports, m)
		}
	}
	if len(command.Reports) == 0 {
		return nil
	}
	t.counts.reports.Inc(int64(len(command.Reports)))
	return t.commits.submit(ctx, command)
}

// await waits until the worker's orders differ from those it has seen, or for
// as long as it asked.
func (t *term) await(ctx context.Context, r *workercall.Renewal) (*workercall.Grant, error) {
	wait := min(r.MaxWait, t.config.LeaseLength/maxWaitShare)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		orders := t.config.Tasks.Orders(r.Worker.GetName(), r.Worker.GetBoot(), r.OrdersSeen)
		if !orders.Known {
			return nil, workercall.ErrLeaseEnding
		}
		grant := t.grant(r, orders)
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

// grant compares what the worker reports with what it shall hold.
func (t *term) grant(r *workercall.Renewal, orders tasks.Orders) *workercall.Grant {
	var ends []string
	var strays []*apiv1.Order
	for _, m := range r.Reports {
		switch {
		case t.config.Tasks.HoldsAttempt(m.GetWorker(), m.GetBoot(), m.GetAttempt()):
		case ended(m.GetPhase()):
			ends = append(ends, m.GetAttempt())
		default:
			strays = append(strays, stray(m))
		}
	}
	if len(strays) > 0 && orders.Revision == r.OrdersSeen {
		orders = t.config.Tasks.Orders(r.Worker.GetName(), r.Worker.GetBoot(), tasks.NoRevision)
	}
	return &workercall.Grant{
		OrdersRevision:  orders.Revision,
		OrdersUnchanged: orders.Revision == r.OrdersSeen && len(strays) == 0,
		Orders:          append(orders.Orders, strays...),
		Acknowledged:    ends,
	}
}

// stray orders a worker to stop an attempt that no longer counts.
func stray(m *apiv1.AttemptReport) *apiv1.Order {
	return &apiv1.Order{
		Kind: apiv1.Order_KIND_STOP,
		Attempt: &apiv1.Attempt{
			Id:     m.GetAttempt(),
			Worker: m.GetWorker(),
			Boot:   m.GetBoot(),
		},
	}
}

func ended(phase apiv1.AttemptReport_Phase) bool {
	switch phase {
	case apiv1.AttemptReport_PHASE_SUCCEEDED, apiv1.AttemptReport_PHASE_FAILED,
		apiv1.AttemptReport_PHASE_STOPPED, apiv1.AttemptReport_PHASE_NEVER_STARTED:
		return true
	default:
		return false
	}
}
