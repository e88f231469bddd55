package placement

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/lease"
	"github.com/pistachioport/pistachioport/internal/scheduler"
)

// term is the state of one term of leadership.
type term struct {
	config   Config
	counters *counters
	granter  *lease.Granter
	batcher  *batcher
	barrier  *barrier
	done     <-chan struct{}
	usage    *usage

	mu   sync.Mutex // guards cell
	cell *scheduler.Cell
}

func newTerm(config Config, counters *counters) *term {
	return &term{
		config:   config,
		counters: counters,
		granter:  lease.NewGranter(config.Clock, config.LeaseLength, config.MaxClockDrift),
		batcher:  newBatcher(config),
		usage:    newUsage(),
		cell:     scheduler.NewCell(),
	}
}

// start binds the term to the context of leadership.
func (t *term) start(ctx context.Context) {
	t.done = ctx.Done()
	t.barrier = newBarrier(ctx, t.config.Log, t.counters)
}

func (t *term) waitReasons(job string) []*apiv1.WaitReason {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cell.WaitReasons(job)
}

// now returns the wall clock in Unix milliseconds.
func (c Config) now() int64 {
	return int64(c.Clock.Read().Wall / time.Millisecond)
}

// leaseHolder returns the name under which a worker's boot holds its lease.
func leaseHolder(worker, boot string) string {
	return worker + "/" + boot
}
