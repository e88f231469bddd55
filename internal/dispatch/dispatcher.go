package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Dispatcher schedules callers' jobs while this process is the leader. It serves
// one term; a new one is made for the next.
type Dispatcher struct {
	Config
	term        uint64
	counters    counters
	leaderLease *leaderLease
	renewNow    chan struct{} // holds an element if the leader lease has to be renewed soon
	advisorPool *advisorPool
	ends        *endBatcher
	holdSlots   *callSlots
	largeHolds  *callSlots // instead of holdSlots in a large deployment
	firstPolls  *callSlots // taken in a large deployment before the others of a first poll
	orderSlots  *callSlots
	stopSlots   *callSlots // taken before one of orderSlots
	cutPasses   cutPasses
	runLog      *runLog
	ledger      *ledger
	workerCount atomic.Int64 // workers of all pools
	rates       *workspaceRates

	// jobsLoaded is closed once the takeover has loaded the unfinished jobs. No worker is asked for its
	// runs before: their tasks would not be known.
	jobsLoaded chan struct{}

	ctx        context.Context //nolint:containedctx // ends with the term
	cancel     context.CancelFunc
	goroutines errgroup.Group

	spawnMu     sync.RWMutex
	spawnClosed bool // no goroutine may be started any more

	mu        sync.Mutex
	pools     map[string]*pool // by service
	takenOver bool
}

// New returns the dispatcher of a term. It does nothing until Run is called and
// ends with ctx.
func New(ctx context.Context, config Config, term uint64) *Dispatcher {
	d := &Dispatcher{
		Config:      config,
		term:        term,
		counters:    newCounters(config.Metrics),
		leaderLease: &leaderLease{clock: config.Clock, length: config.Timing.leaseDuration()},
		renewNow:    make(chan struct{}, 1),
		advisorPool: newAdvisorPool(),
		holdSlots:   newCallSlots(config.CallLimits.Holds),
		largeHolds:  newCallSlots(config.CallLimits.LargeHolds),
		firstPolls:  newCallSlots(maxFirstPolls),
		orderSlots:  newCallSlots(config.CallLimits.Orders),
		stopSlots:   newStopSlots(config.CallLimits.Orders),
		pools:       make(map[string]*pool),
		jobsLoaded:  make(chan struct{}),
		ledger:      newLedger(),
		rates:       newWorkspaceRates(config.Timing.RateWindow),
	}
	d.Logger = config.Logger.With("term", term)
	d.runLog = &runLog{logger: d.Logger}
	d.ends = &endBatcher{d: d}
	d.ctx, d.cancel = context.WithCancel(ctx)
	return d
}

// Run takes over from the previous leader and schedules jobs until Stop is called
// or the context of New ends. It returns once all goroutines have ended. The only
// error is that of a failed takeover.
func (d *Dispatcher) Run() error {
	defer func() {
		d.Table.SetObserver(nil)
		d.cancel()
		d.spawnMu.Lock()
		d.spawnClosed = true
		d.spawnMu.Unlock()
		_ = d.goroutines.Wait()
		d.runLog.flush()
	}()
	if err := d.takeOver(); err != nil {
		return err
	}
	d.spawn(d.logLoad)
	d.spawn(d.logRuns)
	for d.renewUntil(time.Now().Add(leaderLeaseRenewInterval)) {
		d.renewLease()
		d.forgetFinishedJobs()
	}
	return nil
}

// Stop ends the term. It does not wait; Run returns when all work has ended.
func (d *Dispatcher) Stop() { d.cancel() }

// renewLease renews the leader lease if a majority confirms the leadership.
func (d *Dispatcher) renewLease() {
	roundStart := d.Clock.Read()
	ctx, cancel := context.WithTimeout(d.ctx, d.Timing.leaseDuration()/2)
	defer cancel()
	if err := d.Log.Barrier(ctx); err != nil {
		if d.ctx.Err() == nil {
			d.Logger.Warn("leadership not confirmed", "error", err, "authority_left_ms", d.leaderLease.remaining().Milliseconds())
		}
		return
	}
	d.leaderLease.renewLease(roundStart)
	for _, p := range d.allPools() {
		p.confirmLosses(roundStart)
	}
}

// takeOver loads workers and unfinished jobs from the replicated table, once all
// entries committed before this term are applied here.
func (d *Dispatcher) takeOver() error {
	roundStart := d.Clock.Read()
	if err := d.Log.Barrier(d.ctx); err != nil {
		return errors.Wrap(err, "confirm the new leadership")
	}
	d.leaderLease.renewLease(roundStart)
	d.Table.SetObserver(d)
	now := time.Now()
	nowUnixMs := d.nowUnixMs()
	oldLeaseEnd := now.Add(time.Duration(float64(d.Timing.leaseDuration())/minClockRate) + leaseExpiryMargin)
	workers, unfinished := d.Table.Workers(), d.Table.Unfinished()
	d.ledger.takeOver(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, record := range workers {
		d.poolLocked(record.GetService()).addInheritedWorker(record, oldLeaseEnd)
	}
	for _, p := range unfinished {
		d.poolLocked(p.GetJob().GetQueue().GetService()).addJob(newJob(p, now, nowUnixMs), true)
	}
	d.takenOver = true
	close(d.jobsLoaded)
	d.Logger.Info("took over", "workers", len(workers), "open_jobs", len(unfinished),
		"wait_out_ms", time.Until(oldLeaseEnd).Milliseconds())
	return nil
}

// Ready reports whether the takeover has finished and the term has not ended.
func (d *Dispatcher) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.takenOver && d.ctx.Err() == nil
}

// pool returns the service's pool, which is created and started if needed.
func (d *Dispatcher) pool(service string) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.poolLocked(service)
}

func (d *Dispatcher) poolLocked(service string) *pool {
	p := d.pools[service]
	if p == nil {
		p = newPool(d, service)
		p.restoreContainments(time.Now(), d.nowUnixMs())
		d.pools[service] = p
		d.spawn(p.run)
	}
	return p
}

// spawn runs work in a goroutine for which Run waits. It does nothing once Run
// has begun to wait.
func (d *Dispatcher) spawn(work func()) {
	d.spawnMu.RLock()
	defer d.spawnMu.RUnlock()
	if d.spawnClosed {
		return
	}
	d.goroutines.Go(func() error {
		d.contain("a task of the dispatcher", "", work)
		return nil
	})
}

// JobAccepted adds a job. It is called when the acceptance has been applied to
// the replicated table.
func (d *Dispatcher) JobAccepted(accepted *apiv1.CallerJob) {
	d.ledger.countAccepted(accepted)
	j := newJob(&apiv1.JobProgress{Job: accepted}, time.Now(), d.nowUnixMs())
	d.pool(accepted.GetQueue().GetService()).addAcceptedJob(j)
}

// JobCancelled removes a job and stops its runs. It is called when the
// cancellation has been applied to the replicated table.
func (d *Dispatcher) JobCancelled(id string) {
	for _, p := range d.allPools() {
		p.removeJob(id, "job cancelled")
	}
}

// WorkerChanged adds a worker or updates its record. It is called when the record has
// been applied to the replicated table, so no task is started on a draining worker once
// its report is acknowledged.
func (d *Dispatcher) WorkerChanged(record *apiv1.PoolWorker) {
	own := d.pool(record.GetService())
	for _, p := range d.allPools() {
		if p != own {
			p.releaseWorker(record)
		}
	}
	own.updateWorkerRecord(record)
}

// allPools returns the pools of all services.
func (d *Dispatcher) allPools() []*pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.pools))
}

// EntryJoined records that the entry at the address is alive and can call the
// policy service.
func (d *Dispatcher) EntryJoined(address string) { d.advisorPool.recordAlive(address, time.Now()) }

func (d *Dispatcher) nowUnixMs() int64 { return d.Clock.Read().Time().UnixMilli() }

// proposeCommand commits a change of the replicated table. After an error it is
// unknown whether the change was committed.
func (d *Dispatcher) proposeCommand(command *apiv1.JobsCommand) error {
	ctx, cancel := context.WithTimeout(d.ctx, proposeTimeout)
	defer cancel()
	_, err := d.Log.Propose(ctx, &apiv1.Command{
		LeaderUnixMs: d.nowUnixMs(),
		Body:         &apiv1.Command_Jobs{Jobs: command},
	})
	return errors.Wrap(err, "commit")
}

// sleep waits for the length or until ctx ends, whose error it then returns.
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
