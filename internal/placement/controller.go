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
	config   Config
	counters *counters
	service  *workercall.Service
	term     atomic.Pointer[term] // nil: not leading
}

var _ apiv1.Platform = (*Controller)(nil)

// New returns a controller that is inactive until Run.
func New(config Config) *Controller {
	c := &Controller{config: config.withDefaults()}
	c.counters = newCounters(c.config.Metrics)
	c.service = workercall.NewService(&leader{controller: c}, c.config.NotLeader)
	return c
}

// Run places tasks until ctx ends; the caller must end ctx when this process no
// longer leads. Each call starts a new term, which waits for leases granted by
// earlier leaders to expire. Run returns nil once ctx has ended.
func (c *Controller) Run(ctx context.Context) error {
	t := newTerm(c.config, c.counters)
	group, groupCtx := errgroup.WithContext(ctx)
	t.start(groupCtx)
	c.term.Store(t)
	defer c.term.CompareAndSwap(t, nil)
	group.Go(func() error { return t.batcher.run(groupCtx) })
	group.Go(func() error { return t.runScheduler(groupCtx) })
	group.Go(func() error { return t.runExpiry(groupCtx) })
	err := group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Renew serves a worker's renewal. If this process does not lead, it returns the
// error of Config.NotLeader.
func (c *Controller) Renew(ctx context.Context, request *apiv1.RenewWorkerRequest) (*apiv1.RenewWorkerResponse, error) {
	return c.service.Renew(ctx, request)
}

// WaitReasons returns the reasons why tasks of the job wait; nil if this process does not
// lead.
func (c *Controller) WaitReasons(job string) []*apiv1.WaitReason {
	t := c.term.Load()
	if t == nil {
		return nil
	}
	return t.waitReasons(job)
}
