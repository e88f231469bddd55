package placement

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/workercall"
)

// Controller places tasks while this process leads. It is safe for concurrent use.
type Controller struct {
	config  Config
	counts  *counts
	service *workercall.Service
	term    atomic.Pointer[term] // nil: not leading
}

var _ apiv1.Platform = (*Controller)(nil)

// New returns a duty that does nothing until Run.
func New(config Config) *Controller {
	d := &Controller{config: config.withDefaults()}
	d.counts = newCounts(d.config.Metrics)
	d.service = workercall.NewService(&leader{duty: d}, d.config.NotLeader)
	return d
}

// Run places tasks until ctx ends, which it must when this process no longer
// leads. Each call is a new term: leases that an earlier leader granted are
// waited out. It returns nil once ctx has ended.
func (d *Controller) Run(ctx context.Context) error {
	t := newTerm(d.config, d.counts)
	group, groupCtx := errgroup.WithContext(ctx)
	t.begin(groupCtx)
	d.term.Store(t)
	defer d.term.CompareAndSwap(t, nil)
	group.Go(func() error { return t.commits.run(groupCtx) })
	group.Go(func() error { return t.decide(groupCtx) })
	group.Go(func() error { return t.expire(groupCtx) })
	err := group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Renew serves workers. Outside leadership it refers them to the leader.
func (d *Controller) Renew(ctx context.Context, request *apiv1.RenewWorkerRequest) (*apiv1.RenewWorkerResponse, error) {
	return d.service.Renew(ctx, request)
}

// Waits explains why tasks of the job wait; nil outside leadership.
func (d *Controller) Waits(job string) []*apiv1.WaitReason {
	t := d.term.Load()
	if t == nil {
		return nil
	}
	return t.waits(job)
}
