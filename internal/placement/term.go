package placement

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/lease"
	"github.com/pistachioport/pistachioport/internal/scheduler"
)

// term is one time of leadership.
type term struct {
	config  Config
	counts  *counts
	granter *lease.Granter
	commits *commits
	barrier *barrier
	done    <-chan struct{}
	usage   *usage

	mu   sync.Mutex // guards cell
	cell *scheduler.Cell
}

func newTerm(config Config, counts *counts) *term {
	return &term{
		config:  config,
		counts:  counts,
		granter: lease.NewGranter(config.Clock, config.LeaseLength, config.Drift),
		commits: newCommits(config),
		usage:   newUsage(),
		cell:    scheduler.NewCell(),
	}
}

// begin ties the term to the context of leadership.
func (t *term) begin(ctx context.Context) {
	t.done = ctx.Done()
	t.barrier = newBarrier(ctx, t.config.Log, t.counts)
}

func (t *term) waits(job string) []*apiv1.WaitReason {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cell.WaitReasons(job)
}

// now returns the wall clock in Unix milliseconds.
func (c Config) now() int64 {
	return int64(c.Clock.Read().Wall / time.Millisecond)
}

// holder names a boot of a worker in the account of leases.
func holder(worker, boot string) string {
	return worker + "/" + boot
}
