package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	// reportBatchDelay is how long changed reports are collected for one commit. Workers
	// that start together thus share commits instead of filling the log.
	reportBatchDelay = 10 * time.Millisecond
	// reportTimeout bounds the recording of a batch. The platform's workers wait a second
	// for the answer to a report.
	reportTimeout = 800 * time.Millisecond
	// maxBatchedReports bounds a batch in a large deployment. A batch is one command of about 200 KB then, a twentieth
	// of what a call may carry, which takes far less than reportTimeout to commit.
	maxBatchedReports = 2000
)

// errReportsPending refuses a report that could not be committed in time.
var errReportsPending = errors.New("more reports wait than can be recorded in time")

// reportBatcher collects the changed reports of workers and records them together. One
// batch is recorded at a time; further reports collect meanwhile, so a slow leader gets
// larger batches instead of more calls. While bounded returns true, a batch has at most
// maxBatchedReports, and lacks those whose callers have given up.
type reportBatcher struct {
	send    func(ctx context.Context, records []*apiv1.PoolWorker) error
	bounded func() bool // nil: never

	mu         sync.Mutex
	collecting *reportBatch // open for further reports; nil: none
	recording  bool         // recordBatches runs
}

// reportBatch is a set of reports that are recorded together.
type reportBatch struct {
	reports []batchedReport
	done    chan struct{}
	err     error // set before done is closed
}

// batchedReport is a report with the context of its caller.
type batchedReport struct {
	record *apiv1.PoolWorker
	ctx    context.Context //nolint:containedctx // tells whether the caller still waits
}

// record adds a report to the open batch and waits until the batch is recorded. After an
// error it is unknown whether the report was recorded.
func (b *reportBatcher) record(ctx context.Context, record *apiv1.PoolWorker) error {
	batch := b.add(batchedReport{record, ctx})
	if batch == nil {
		return errReportsPending
	}
	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// add adds a report to the open batch, which it returns; nil if that is full.
func (b *reportBatcher) add(report batchedReport) *reportBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.collecting == nil {
		b.collecting = &reportBatch{done: make(chan struct{})}
	}
	if len(b.collecting.reports) >= maxBatchedReports && b.isBounded() {
		return nil
	}
	b.collecting.reports = append(b.collecting.reports, report)
	if !b.recording {
		b.recording = true
		go b.recordBatches()
	}
	return b.collecting
}

func (b *reportBatcher) isBounded() bool { return b.bounded != nil && b.bounded() }

// recordBatches records batches, one after the other, until no report waits.
func (b *reportBatcher) recordBatches() {
	for more := true; more; more = b.reportsWait() {
		time.Sleep(reportBatchDelay)
		b.recordBatch()
	}
}

// recordBatch closes the open batch and records it.
func (b *reportBatcher) recordBatch() {
	b.mu.Lock()
	batch := b.collecting
	b.collecting = nil
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	defer close(batch.done)
	if records := batch.pending(b.isBounded()); len(records) > 0 {
		batch.err = b.send(ctx, records)
	}
}

// pending returns the records of the batch. If it is bounded, those whose caller has given up are left out: the worker
// has reported elsewhere by then, and reports again.
func (b *reportBatch) pending(bounded bool) []*apiv1.PoolWorker {
	records := make([]*apiv1.PoolWorker, 0, len(b.reports))
	for _, report := range b.reports {
		if !bounded || report.ctx.Err() == nil {
			records = append(records, report.record)
		}
	}
	return records
}

// reportsWait reports whether a batch is open. If not, it counts recordBatches as ended.
func (b *reportBatcher) reportsWait() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recording = b.collecting != nil
	return b.recording
}
