package worker

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/lease"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// responseTimeMargin is added to the long poll's duration to give the timeout of a
// renewal.
const responseTimeMargin = time.Second

// finalReportTimeout bounds the last report of a worker that shuts down.
const finalReportTimeout = 2 * time.Second

// Worker is one incarnation of a fake worker.
type Worker struct {
	options     Options
	leaseHolder *lease.Holder

	mu         sync.Mutex
	tasks      map[string]*task // by attempt id
	changed    chan struct{}    // closed and replaced when there is something new to report
	ordersSeen uint64           // revision of the orders last received
	running    sync.WaitGroup
}

// New returns a worker, which does nothing until Run is called.
func New(options Options) *Worker {
	options = options.withDefaults()
	return &Worker{
		options:     options,
		leaseHolder: lease.NewHolder(options.Clock),
		tasks:       make(map[string]*task),
		changed:     make(chan struct{}),
	}
}

// Boot returns the id of this incarnation.
func (w *Worker) Boot() string {
	return w.options.Boot
}

// Run renews the lease and runs tasks until ctx is done. Then it stops the tasks,
// reports them and returns nil.
func (w *Worker) Run(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.renewLoop(groupCtx) })
	group.Go(func() error { return w.watchLease(groupCtx) })
	err := group.Wait()
	w.stopAllTasks()
	w.running.Wait()
	reportCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalReportTimeout)
	defer cancel()
	_, _ = w.options.Platform.Renew(reportCtx, w.request(0)) // if this report is lost, the lease expires
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Running returns the sorted ids of the running attempts.
func (w *Worker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id, t := range w.tasks {
		if !t.ended() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// watchLease stops all tasks when the lease has expired.
func (w *Worker) watchLease(ctx context.Context) error {
	ticker := time.NewTicker(w.options.LeaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !w.leaseHolder.Valid() {
			w.stopAllTasks()
		}
	}
}

// renewLoop sends renewals one after the other until ctx is done.
func (w *Worker) renewLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := w.renew(ctx); err != nil {
			w.backOff(ctx)
		}
	}
	return ctx.Err()
}

func (w *Worker) backOff(ctx context.Context) {
	timer := time.NewTimer(w.options.RetryBackoff)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// renew sends one renewal as a long poll. It is cancelled when there is something
// new to report, so that the next renewal reports it without delay.
func (w *Worker) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.options.LongPollWait+responseTimeMargin)
	defer cancel()
	reportPending := w.reportPending()
	request := w.request(w.options.LongPollWait)
	pollEnded := make(chan struct{})
	defer close(pollEnded)
	go func() {
		select {
		case <-reportPending:
			cancel()
		case <-pollEnded:
		}
	}()
	sentAt := w.leaseHolder.SendTime()
	response, err := w.options.Platform.Renew(rpc.WithAttemptTimeout(ctx, w.options.LongPollWait+responseTimeMargin), request)
	if err != nil {
		if isClosed(reportPending) {
			return nil // the next renewal sends the new report
		}
		return err
	}
	return w.applyResponse(response, func(duration time.Duration) { w.leaseHolder.Extend(sentAt, duration) })
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// reportPending returns a channel that is closed when there is something to report
// that a request built before the close may lack.
func (w *Worker) reportPending() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// wakeLongPoll cancels the current long poll so that changes are reported. The
// caller holds the lock.
func (w *Worker) wakeLongPoll() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// request builds a renewal that reports all known attempts.
func (w *Worker) request(wait time.Duration) *apiv1.RenewWorkerRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	request := &apiv1.RenewWorkerRequest{
		Worker: &apiv1.Worker{
			Name:     w.options.Name,
			Boot:     w.options.Boot,
			Location: w.options.Location,
			Capacity: w.options.Capacity,
		},
		WaitMs:     wait.Milliseconds(),
		OrdersSeen: w.ordersSeen,
	}
	for id, t := range w.tasks {
		request.Reports = append(request.Reports, &apiv1.AttemptReport{
			Attempt:      id,
			Phase:        t.phase,
			Detail:       t.detail,
			Checkpointed: t.checkpointRequested && t.ended(),
		})
	}
	slices.SortFunc(request.Reports, func(a, b *apiv1.AttemptReport) int {
		return strings.Compare(a.GetAttempt(), b.GetAttempt())
	})
	return request
}
