package dispatch

import (
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/state/jobs"
)

// pool holds the workers of a service and the unfinished jobs that run on them.
//
// Invariants while the lock is not held:
//   - a worker's free resources are its capacity minus the size of all its runs;
//   - a task that is not done has at most one run, and no other run of it is
//     active or can still start;
//   - a run is removed from its worker only when the worker has reported its
//     end, when the worker certainly does not have it and never will, or when
//     its lease has expired. If the worker's incarnation has ended, its runs move
//     to the next one under the same id, until that has listed its own.
type pool struct {
	d            *Dispatcher
	service      string
	wakeup       chan struct{} // requests a scheduling pass
	urgentWakeup chan struct{} // requests one for urgent units

	mu            sync.Mutex          // guards the fields below and all workers, jobs, units, tasks and runs
	workers       map[string]*worker  // by id
	workerList    []*worker           // the same workers
	jobs          map[string]*job     // unfinished jobs, by id
	urgentJobs    []*job              // those that may have urgent units, and some that had
	allowedShares map[string]float64  // by queue; see allowedShare
	responseTimer retransmissionTimer // of start requests
	// unreconciled holds the ids of workers on which the previous leader may have
	// started runs that are not known yet, with the time when their leases expire.
	unreconciled     map[string]time.Time
	largestInherited resources // the highest capacity of the workers that were ever in unreconciled
	// departed holds removed jobs of which the previous leader may have started tasks, by id.
	departed         map[string]*job
	workspacesWaited bool // units of workspaces waited in the last pass
	// occupied is what the runs of each workspace use, but for those that are being stopped.
	occupied     map[string]resources
	shares       *poolShares // of the current pass; nil: no unit of a workspace waits
	waitList     waitList
	parkedSums   map[string]parkedSums // over the units that passes leave out, by workspace
	slots        workerSlots
	catalog      *jobs.Catalog // of the last pass
	releasedCaps releasedCaps
	trialsInUse  bool // the last pass kept trial workers, or none has taken place
	// containments holds the queues whose tasks have crashed workers, by name.
	containments    map[string]*containment
	crashedWorkers  crashedWorkers
	silentLosses    silentLosses
	losses          []loss // not confirmed yet, in their order
	probableCrashes probableCrashes
	// harmlessWaitedAt is when a unit that needs no trial last waited for long.
	harmlessWaitedAt time.Time
	loadAdmission    *loadAdmission // nil: jobs are admitted whatever the load
}

func newPool(d *Dispatcher, service string) *pool {
	return &pool{
		d: d, service: service, wakeup: make(chan struct{}, 1), urgentWakeup: make(chan struct{}, 1),
		workers: make(map[string]*worker), jobs: make(map[string]*job),
		allowedShares: make(map[string]float64), unreconciled: make(map[string]time.Time), departed: make(map[string]*job),
		occupied: make(map[string]resources), parkedSums: make(map[string]parkedSums),
		trialsInUse: true, loadAdmission: newLoadAdmission(d.AdmitsByLoad),
		containments: make(map[string]*containment), crashedWorkers: make(crashedWorkers), silentLosses: make(silentLosses),
	}
}

// account returns the ledger; nil: the pool is nil.
func (p *pool) account() *ledger {
	if p == nil {
		return nil
	}
	return p.d.ledger
}

// run executes scheduling passes until the term ends.
func (p *pool) run() {
	all, urgent := newPassSchedule(idlePassInterval), newPassSchedule(0)
	defer all.timer.Stop()
	defer urgent.timer.Stop()
	for {
		select {
		case <-p.d.ctx.Done():
			return
		case <-p.wakeup:
			all.request(time.Now())
		case <-p.urgentWakeup:
			urgent.request(time.Now())
		case <-all.timer.C:
			urgent.cancel()
			all.run(func() { p.d.contain("a scheduling pass", p.service, p.runPass) })
			p.d.counters.passes.Inc(1)
			p.d.counters.passMicros.Inc(all.last.length().Microseconds())
		case <-urgent.timer.C:
			urgent.run(func() { p.d.contain("a pass for urgent units", p.service, p.runUrgentPass) })
			p.d.counters.urgentPasses.Inc(1)
			p.d.counters.urgentPassMicros.Inc(urgent.last.length().Microseconds())
		}
	}
}

// requestPass triggers a scheduling pass soon. It never blocks.
func (p *pool) requestPass() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// addInheritedWorker adds a worker on which the previous leader may have started
// runs. Leases granted by that leader have expired at oldLeaseEnd.
func (p *pool) addInheritedWorker(record *apiv1.PoolWorker, oldLeaseEnd time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[record.GetId()]
	switch {
	case w != nil && w.synced:
		return // it reported a change during the takeover and has answered this leader
	case w == nil:
		w = p.addWorker(record)
	}
	p.unreconciled[record.GetId()] = oldLeaseEnd
	p.largestInherited = p.largestInherited.largest(w.capacity)
	p.setUnsettled()
	w.leaseEnd = oldLeaseEnd
	age := time.Duration(p.d.nowUnixMs()-record.GetBornUnixMs()) * time.Millisecond
	w.recordLeaseGranted(time.Now(), min(p.d.Timing.leaseAfterBirth()-age, p.d.Timing.leaseAfterBirth()))
}

// addJob adds a job, unless the pool has it. If inherited, tasks that former leaders may have
// started, or may start until their leases end, wait until the workers are reconciled. Those
// are all tasks of steps whose dependencies are done: a former leader applies no later end, but its wall
// clock goes on, and occurrences become due there. Whether they are due by this process's
// clock does not tell.
func (p *pool) addJob(j *job, inherited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.jobs[j.id] != nil {
		return
	}
	p.insertJob(j)
	for _, u := range j.units {
		startable := inherited && len(p.unreconciled) > 0 && u.dependenciesDone()
		for _, t := range u.tasks {
			p.setMayBeRunning(t, startable && !t.done)
		}
	}
	p.addUrgent(j)
	p.requestPass()
}

// insertJob makes passes look at the job's units. The caller holds the lock.
func (p *pool) insertJob(j *job) {
	p.jobs[j.id] = j
	for _, u := range j.units {
		p.waitList.add(u)
	}
}

// deleteJob makes passes leave out the job's units. The caller holds the lock.
func (p *pool) deleteJob(j *job) {
	delete(p.jobs, j.id)
	j.removed = true
}

// addAcceptedJob adds a job that was accepted in this term.
func (p *pool) addAcceptedJob(j *job) { p.addJob(j, false) }

// markReconciled records that all runs that the previous leader started on the
// worker are known. After the last such worker, tasks without a known run are
// certain not to be running. The caller holds the lock.
func (p *pool) markReconciled(id string) {
	if _, ok := p.unreconciled[id]; !ok {
		return
	}
	delete(p.unreconciled, id)
	p.setUnsettled()
	if len(p.unreconciled) > 0 {
		return
	}
	p.d.Logger.Info("all workers of the predecessor are settled", "service", p.service)
	for _, j := range p.jobs {
		for _, u := range j.units {
			for _, t := range u.tasks {
				p.setMayBeRunning(t, false)
			}
			if u.spec.GetGang() && u.remaining > 0 && u.partlyRunning() {
				p.stopUnit(u, "gang members were lost with the previous leader")
			}
		}
	}
	for _, j := range p.departed {
		for _, u := range j.units {
			for _, t := range u.tasks {
				p.setMayBeRunning(t, false)
			}
		}
	}
	clear(p.departed)
	p.requestPass()
}

// discardRun removes a run that is certainly over or never started and whose end
// was not reported. Its task can be started again. If it is a member of a gang,
// the other members are stopped. The caller holds the lock.
func (p *pool) discardRun(r *run) {
	r.worker.removeRun(r)
	r.worker.health.recordNoResult(r.key())
	if r.task == nil {
		return
	}
	p.d.counters.runsLost.Inc(1)
	if r.task.run != r {
		return
	}
	r.task.setRun(nil)
	if r.task.unit.spec.GetGang() && !r.task.done {
		p.stopUnit(r.task.unit, "a gang's member is gone")
	}
}

// removeJob removes a job and stops its runs.
func (p *pool) removeJob(id, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeJobLocked(id, reason)
}

func (p *pool) removeJobLocked(id, reason string) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	p.deleteJob(j)
	p.keepDeparted(j)
	for _, u := range j.units {
		p.releaseReservation(u)
		u.unpark()
		for _, t := range u.tasks {
			if t.run != nil {
				p.stopRun(t.run, reason)
			}
		}
	}
	p.requestPass()
}
