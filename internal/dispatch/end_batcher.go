package dispatch

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// endBatchDelay is how long ends are collected for one commit. It is about the
// duration of one disk sync, during which they would otherwise collect in the log.
const endBatchDelay = 5 * time.Millisecond

// endBatcher commits ends reported by several workers in one command.
type endBatcher struct {
	d *Dispatcher

	mu         sync.Mutex
	collecting *endBatch // open for further ends; nil: none
}

// endBatch is a set of ends that are committed together.
type endBatch struct {
	ends []*apiv1.RunEnd
	done chan struct{}
	err  error // set before done is closed
}

// commit adds the ends to the open batch and waits until the batch is committed.
// After an error it is unknown whether the ends were committed.
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

// flush closes the open batch after endBatchDelay and commits it.
func (b *endBatcher) flush() {
	_ = sleep(b.d.ctx, endBatchDelay) // if the term has ended, the proposal below fails
	b.mu.Lock()
	batch := b.collecting
	b.collecting = nil
	b.mu.Unlock()
	batch.err = errPanicked
	defer close(batch.done)
	b.d.contain("the commit of ends", "", func() {
		batch.err = b.d.proposeCommand(&apiv1.JobsCommand{Ends: batch.ends})
	})
}
