package dispatch

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// endBatchDelay gathers the ends of several workers into one commit. It is
// about the length of one sync, which would gather them in the log otherwise.
const endBatchDelay = 5 * time.Millisecond

// endBatcher commits the ends that workers list, those of several workers
// together.
type endBatcher struct {
	d *Dispatcher

	mu         sync.Mutex
	collecting *endBatch // nil: none waits
}

type endBatch struct {
	ends []*apiv1.RunEnd
	done chan struct{}
	err  error // set before done is closed
}

// commit returns once the ends are committed, or it is not known whether they are.
func (b *endBatcher) commit(ctx context.Context, ends []*apiv1.RunEnd) error {
	b.mu.Lock()
	if b.collecting == nil {
		b.collecting = &endBatch{done: make(chan struct{})}
		b.d.spawn(b.flush)
	}
	batch := b.collecting
	batch.ends = append(batch.ends, ends...)
	b.mu.Unlock()
	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *endBatcher) flush() {
	_ = sleep(b.d.ctx, endBatchDelay) // the commit fails by itself once the term is over
	b.mu.Lock()
	batch := b.collecting
	b.collecting = nil
	b.mu.Unlock()
	batch.err = b.d.proposeCommand(&apiv1.JobsCommand{Ends: batch.ends})
	close(batch.done)
}
