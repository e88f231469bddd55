package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Dispatcher runs callers' jobs while this process leads, for one term.
type Dispatcher struct {
	Config
	term        uint64
	instruments instruments
	leaderLease *leaderLease
	advisorPool *advisorPool
	ends        *endBatcher

	ctx        context.Context //nolint:containedctx // ends with the term
	cancel     context.CancelFunc
	goroutines errgroup.Group

	spawnMu     sync.RWMutex
	spawnClosed bool // no task may begin any more

	mu        sync.Mutex
	pools     map[string]*pool // by service
	takenOver bool
}

// New returns the dispatcher of a term.
func New(ctx context.Context, config Config, term uint64) *Dispatcher {
	d := &Dispatcher{
		Config:      config,
		term:        term,
		instruments: newInstruments(config.Metrics),
		leaderLease: &leaderLease{clock: config.Clock, length: config.Timing.leaseDuration()},
		advisorPool: newAdvisorPool(),
		pools:       make(map[string]*pool),
	}
	d.Logger = config.Logger.With("term", term)
	d.ends = &endBatcher{d: d}
	d.ctx, d.cancel = context.WithCancel(ctx)
	return d
}

// Run takes over from the previous leader and gives orders until the term ends.
func (d *Dispatcher) Run() error {
	defer func() {
		d.Table.SetObserver(nil)
		d.cancel()
		d.spawnMu.Lock()
		d.spawnClosed = true
		d.spawnMu.Unlock()
		_ = d.goroutines.Wait()
	}()
	if err := d.takeOver(); err != nil {
		return err
	}
	for {
		if err := sleep(d.ctx, leaderLeaseRenewInterval); err != nil {
			return nil
		}
		d.renewLease()
		d.forgetFinishedJobs()
	}
}

// Stop ends the term's work and waits for it.
func (d *Dispatcher) Stop() { d.cancel() }

// renewLease extends the authority if a majority still takes this process for the
// leader.
func (d *Dispatcher) renewLease() {
	began := d.Clock.Read()
	ctx, cancel := context.WithTimeout(d.ctx, d.Timing.leaseDuration()/2)
	defer cancel()
	if err := d.Log.Barrier(ctx); err != nil {
		if d.ctx.Err() == nil {
			d.Logger.Warn("leadership not confirmed", "error", err, "authority_left_ms", d.leaderLease.timeLeft().Milliseconds())
		}
		return
	}
	d.leaderLease.renewLease(began)
}

// takeOver loads what the replicated table holds, once all that was committed
// before has been applied here.
func (d *Dispatcher) takeOver() error {
	began := d.Clock.Read()
	if err := d.Log.Barrier(d.ctx); err != nil {
		return errors.Wrap(err, "confirm the new leadership")
	}
	d.leaderLease.renewLease(began)
	d.Table.SetObserver(d)
	now := time.Now()
	nowUnixMs := d.nowUnixMs()
	waitOut := now.Add(time.Duration(float64(d.Timing.leaseDuration())/minClockRate) + leaseExpiryMargin)
	workers, open := d.Table.Workers(), d.Table.Unfinished()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, record := range workers {
		d.poolLocked(record.GetService()).addInheritedWorker(record, waitOut)
	}
	for _, p := range open {
		d.poolLocked(p.GetJob().GetQueue().GetService()).addJob(newJob(p, now, nowUnixMs), true)
	}
	d.takenOver = true
	d.Logger.Info("took over", "workers", len(workers), "open_jobs", len(open),
		"wait_out_ms", time.Until(waitOut).Milliseconds())
	return nil
}

// Ready reports whether the takeover is done.
func (d *Dispatcher) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.takenOver && d.ctx.Err() == nil
}

func (d *Dispatcher) pool(service string) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.poolLocked(service)
}

func (d *Dispatcher) poolLocked(service string) *pool {
	p := d.pools[service]
	if p == nil {
		p = newPool(d, service)
		d.pools[service] = p
		d.spawn(p.run)
	}
	return p
}

// spawn does work beside the caller's, unless the term is over.
func (d *Dispatcher) spawn(work func()) {
	d.spawnMu.RLock()
	defer d.spawnMu.RUnlock()
	if d.spawnClosed {
		return
	}
	d.goroutines.Go(func() error {
		work()
		return nil
	})
}

// JobAccepted takes in a job whose acceptance has been applied.
func (d *Dispatcher) JobAccepted(accepted *apiv1.CallerJob) {
	j := newJob(&apiv1.JobProgress{Job: accepted}, time.Now(), d.nowUnixMs())
	d.pool(accepted.GetQueue().GetService()).addAcceptedJob(j)
}

// JobCancelled stops what runs of a job whose cancellation has been applied.
func (d *Dispatcher) JobCancelled(id string) {
	d.mu.Lock()
	pools := make([]*pool, 0, len(d.pools))
	for _, p := range d.pools {
		pools = append(pools, p)
	}
	d.mu.Unlock()
	for _, p := range pools {
		p.removeJob(id, "job cancelled")
	}
}

// WorkerReported takes in a worker's record that is committed.
func (d *Dispatcher) WorkerReported(record *apiv1.PoolWorker) {
	d.pool(record.GetService()).updateWorkerRecord(record)
}

// EntryJoined notes an entry that can ask the policy service.
func (d *Dispatcher) EntryJoined(address string) { d.advisorPool.joined(address, time.Now()) }

func (d *Dispatcher) nowUnixMs() int64 { return d.Clock.Read().Time().UnixMilli() }

// proposeCommand commits a change of the table.
func (d *Dispatcher) proposeCommand(command *apiv1.JobsCommand) error {
	ctx, cancel := context.WithTimeout(d.ctx, proposeTimeout)
	defer cancel()
	_, err := d.Log.Propose(ctx, &apiv1.Command{
		LeaderUnixMs: d.nowUnixMs(),
		Body:         &apiv1.Command_Jobs{Jobs: command},
	})
	return errors.Wrap(err, "commit")
}

// forgetWorker drops a worker's life that is over from the table, so that no
// later leader waits for it.
func (d *Dispatcher) forgetWorker(record *apiv1.PoolWorker) {
	d.spawn(func() {
		life := &apiv1.WorkerLife{Id: record.GetId(), BornUnixMs: record.GetBornUnixMs()}
		if err := d.proposeCommand(&apiv1.JobsCommand{ForgetWorkers: []*apiv1.WorkerLife{life}}); err != nil && d.ctx.Err() == nil {
			d.Logger.Warn("lost worker not forgotten", "worker", record.GetId(), "error", err)
		}
	})
}

// maxForgottenPerCommand bounds the jobs forgotten with one command.
const maxForgottenPerCommand = 500

// forgetFinishedJobs drops the jobs whose state need not be known any longer.
func (d *Dispatcher) forgetFinishedJobs() {
	before := d.nowUnixMs() - d.Timing.JobStatusRetention.Milliseconds()*jobRetentionFactor
	ids := d.Table.FinishedBefore(before, maxForgottenPerCommand)
	if len(ids) == 0 {
		return
	}
	if err := d.proposeCommand(&apiv1.JobsCommand{ForgetJobs: ids}); err != nil {
		d.Logger.Warn("finished jobs not forgotten", "jobs", len(ids), "error", err)
	}
}

// jobRetentionFactor keeps finished jobs for twice the time that callers may ask, so
// that a step of the wall clock makes none unknown early.
const jobRetentionFactor = 2

func sleep(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// runAttr returns the attributes that identify a run in the log.
func runAttr(r *run) slog.Attr {
	return slog.Group("run", "task", r.name, "number", r.number, "worker", r.worker.record.GetId())
}
