package control

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	// reportBatchDelay is how long changed reports are collected for one commit. Workers
	// that start together thus share commits instead of filling the log.
	reportBatchDelay = 10 * time.Millisecond
	// reportTimeout bounds the recording of a batch. The platform's workers wait a second
	// for the answer to a report.
	reportTimeout = 800 * time.Millisecond
)

// reportBatcher collects the changed reports of workers and records them together.
type reportBatcher struct {
	send func(ctx context.Context, records []*apiv1.PoolWorker) error

	mu         sync.Mutex
	collecting *reportBatch // open for further reports; nil: none
}

// reportBatch is a set of reports that are recorded together.
type reportBatch struct {
	records []*apiv1.PoolWorker
	done    chan struct{}
	err     error // set before done is closed
}

// record adds a report to the open batch and waits until the batch is recorded. After an
// error it is unknown whether the report was recorded.
func (b *reportBatcher) record(ctx context.Context, record *apiv1.PoolWorker) error {
	b.mu.Lock()
	batch := b.collecting
	if batch == nil {
		batch = &reportBatch{done: make(chan struct{})}
		b.collecting = batch
		time.AfterFunc(reportBatchDelay, b.flush)
	}
	batch.records = append(batch.records, record)
	b.mu.Unlock()
	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// flush closes the open batch and records it.
func (b *reportBatcher) flush() {
	b.mu.Lock()
	batch := b.collecting
	b.collecting = nil
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	batch.err = b.send(ctx, batch.records)
	close(batch.done)
}
