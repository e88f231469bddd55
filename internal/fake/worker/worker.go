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

// answerAllowance is how long after the long poll's end an answer may take.
const answerAllowance = time.Second

// lastReportTimeout bounds the report of a worker that shuts down.
const lastReportTimeout = 2 * time.Second

// Worker is one boot of a fake worker.
type Worker struct {
	options Options
	holder  *lease.Holder

	mu      sync.Mutex
	tasks   map[string]*task // by attempt id
	changed chan struct{}    // closed when there is something new to report
	seen    uint64           // revision of the last orders
	running sync.WaitGroup
}

// New returns a worker that has not yet called anyone.
func New(options Options) *Worker {
	options = options.withDefaults()
	return &Worker{
		options: options,
		holder:  lease.NewHolder(options.Clock),
		tasks:   make(map[string]*task),
		changed: make(chan struct{}),
	}
}

// Boot returns the boot's id.
func (w *Worker) Boot() string {
	return w.options.Boot
}

// Run serves until ctx ends; then it stops its tasks, reports them and returns
// nil.
func (w *Worker) Run(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.renewals(groupCtx) })
	group.Go(func() error { return w.watchLease(groupCtx) })
	err := group.Wait()
	w.stopAll()
	w.running.Wait()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastReportTimeout)
	defer cancel()
	_, _ = w.options.Platform.Renew(last, w.request(0)) // if it is lost, the lease runs out
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Running returns the ids of the attempts that run, sorted.
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

// watchLease stops all tasks when the lease runs out.
func (w *Worker) watchLease(ctx context.Context) error {
	ticker := time.NewTicker(w.options.LeaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !w.holder.Valid() {
			w.stopAll()
		}
	}
}

func (w *Worker) renewals(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := w.renew(ctx); err != nil {
			w.pause(ctx)
		}
	}
	return ctx.Err()
}

func (w *Worker) pause(ctx context.Context) {
	timer := time.NewTimer(w.options.RetryBackoff)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// renew makes one long poll. It is given up when there is something new to
// report, so that the report goes out at once.
func (w *Worker) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.options.LongPollWait+answerAllowance)
	defer cancel()
	news := w.news()
	request := w.request(w.options.LongPollWait)
	polling := make(chan struct{})
	defer close(polling)
	go func() {
		select {
		case <-news:
			cancel()
		case <-polling:
		}
	}()
	sent := w.holder.SendTime()
	response, err := w.options.Platform.Renew(rpc.WithAttemptTimeout(ctx, w.options.LongPollWait+answerAllowance), request)
	if err != nil {
		if isClosed(news) {
			return nil // report at once
		}
		return err
	}
	return w.accept(response, func(length time.Duration) { w.holder.Extend(sent, length) })
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// news returns a channel that is closed when there is something to report
// that a request made before does not carry.
func (w *Worker) news() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// announce wakes the long poll. The caller holds the lock.
func (w *Worker) announce() {
	close(w.changed)
	w.changed = make(chan struct{})
}

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
		OrdersSeen: w.seen,
	}
	for id, t := range w.tasks {
		request.Reports = append(request.Reports, &apiv1.AttemptReport{
			Attempt:      id,
			Phase:        t.phase,
			Detail:       t.detail,
			Checkpointed: t.checkpoint && t.ended(),
		})
	}
	slices.SortFunc(request.Reports, func(a, b *apiv1.AttemptReport) int {
		return strings.Compare(a.GetAttempt(), b.GetAttempt())
	})
	return request
}
