package dispatch

import (
	"sync"
	"time"
)

// ledger counts what each workspace uses on the workers of all pools, for the caps.
//
// Invariant: what the runs of a workspace really use on all workers is at most its counted usage,
// which is the sum of
//   - the size of each run between worker.addRun and worker.removeRun, in every phase, and of a
//     reserved start from the check of its cap on;
//   - the size of each start that a later incarnation of a lost worker may execute, until the lease
//     of such a start has expired;
//   - what the previous leader may have started and no worker has reported yet, see inheritedUsage;
//   - for every workspace, what is free on workers that run unknown tasks of the previous leader.
//
// A run that moves to another incarnation stays counted meanwhile. Each amount is counted once.
// What is counted rises above the cap only by a cap that is lowered, by runs of the previous
// leader that become known, and by the one task or gang that an idle workspace may start.
//
// Not known, and therefore not counted, are:
//   - runs whose job or gang had finished before the takeover, on a worker that is silent since,
//     after unknownRunsPeriod, and the CPU of filler steps among them;
//   - a start that a later incarnation of a worker executes although this leader has counted it as
//     over, until the leader knows of that incarnation and stops it there.
//
// Lock order: a pool's lock before the ledger's. The methods may be called concurrently.
type ledger struct {
	mu         sync.Mutex
	workspaces map[string]*account
	holders    map[*account]struct{} // those whose workspaces pools may hold units of back
	// unsettled is, by pool, the most that may run on the workers that the previous leader
	// may have used and that have not reported to this leader.
	unsettled map[*pool]resources
	// orphans is, by worker, the most that its runs of unknown tasks may use. They may be of
	// any workspace.
	orphans          map[*worker]resources
	unknownRunsUntil time.Time                        // until then every workspace may use all that is unsettled
	waiting          map[*pool]map[string]waitingWork // of the pools' last passes, by workspace
	heldUnits        int                              // of all pools, in their last passes
}

// waitingWork is what waits in a pool for one workspace.
type waitingWork struct {
	units int // with tasks that can start but for capacity or the cap
	held  int // those of them that wait for the cap
}

// unknownRunsPeriod is how long after a takeover all that may run on workers which have not reported
// counts for every workspace with a cap. It covers runs whose jobs had finished before the
// takeover, which nothing else tells of. Workers that are alive report within it.
const unknownRunsPeriod = 500 * time.Millisecond

func newLedger() *ledger {
	return &ledger{
		workspaces: make(map[string]*account), holders: make(map[*account]struct{}),
		unsettled: make(map[*pool]resources), waiting: make(map[*pool]map[string]waitingWork),
		orphans: make(map[*worker]resources),
	}
}

// account returns the account of the workspace. The caller holds the lock.
func (l *ledger) account(workspace string) *account {
	a := l.workspaces[workspace]
	if a == nil {
		a = &account{workspace: workspace}
		l.workspaces[workspace] = a
	}
	return a
}

// addRun counts a run, unless it is counted already or belongs to no workspace.
func (l *ledger) addRun(r *run) {
	if l == nil || r.workspace == "" || r.counted {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(r.workspace)
	a.runs.add(r.countedSize)
	a.runCount++
	r.counted = true
}

// removeRun ends the counting of a run and requests passes of the pools that hold units of its
// workspace back.
func (l *ledger) removeRun(r *run) {
	if l == nil || !r.counted {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(r.workspace)
	a.runs.subtract(r.countedSize)
	a.runCount--
	r.counted = false
	a.requestPasses()
}

// reserve reserves the starts of as many of the tasks as the cap permits, and returns their number.
// They count from now on, as if their runs had been added. If that is not all of them, the
// pool's next pass is requested when the workspace uses less.
func (l *ledger) reserve(p *pool, request capRequest, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	permitted := l.permitted(p, request, now)
	a := l.account(request.workspace)
	for range permitted {
		a.runs.add(request.size)
	}
	a.runCount += permitted
	return permitted
}

// room returns how many of the tasks the cap permits to start now. If that is not all of them, the
// pool's next pass is requested when the workspace uses less.
func (l *ledger) room(p *pool, request capRequest, now time.Time) int {
	if !request.limited {
		return request.tasks
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.permitted(p, request, now)
}

// permitted is room for callers that hold the lock.
func (l *ledger) permitted(p *pool, request capRequest, now time.Time) int {
	if !request.limited {
		return request.tasks
	}
	a := l.account(request.workspace)
	used, idle := l.used(a, now)
	permitted := request.permitted(used, idle)
	if permitted < request.tasks {
		a.holdBack(p)
		l.holders[a] = struct{}{}
	}
	return permitted
}

// used returns what counts against the cap of the account's workspace, and whether that has
// nothing running for certain. The caller holds the lock.
func (l *ledger) used(a *account, now time.Time) (used resources, idle bool) {
	used = a.usage(l.unsettled)
	if now.Before(l.unknownRunsUntil) {
		used = a.largestUsage(l.unsettled)
	}
	for _, most := range l.orphans {
		used.add(most)
	}
	return used, a.runCount == 0 && used == resources{}
}

// usage returns what the workspace uses, by what is known.
func (l *ledger) usage(workspace string) resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.workspaces[workspace]; a != nil {
		return a.usage(l.unsettled)
	}
	return resources{}
}

// inherit counts a task of the pool that the previous leader may have started, or ends that if
// it is not so any more.
func (l *ledger) inherit(p *pool, u *unit, mayBeRunning bool) {
	if u.job.workspace == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(u.job.workspace)
	a.inherit(p, u, mayBeRunning)
	if !mayBeRunning {
		a.requestPasses()
	}
}

// setUnsettled sets the most that may run on the pool's workers which have not reported.
func (l *ledger) setUnsettled(p *pool, most resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if most == (resources{}) {
		delete(l.unsettled, p)
	} else {
		l.unsettled[p] = most
	}
	l.requestPasses()
}

// addOrphans counts that the worker runs unknown tasks, which use so much at most.
func (l *ledger) addOrphans(w *worker, most resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.orphans[w]; !known {
		l.orphans[w] = most
	}
}

// removeOrphans ends that the worker runs unknown tasks.
func (l *ledger) removeOrphans(w *worker) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.orphans, w)
	l.requestPasses()
}

// requestPasses requests passes of the pools that hold back units of any workspace. The caller holds
// the lock.
func (l *ledger) requestPasses() {
	for a := range l.holders {
		a.requestPasses()
	}
	clear(l.holders)
}

// takeOver begins the time during which runs are not known whose jobs had finished before.
func (l *ledger) takeOver(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unknownRunsUntil = now.Add(unknownRunsPeriod)
}

// settledAt returns when the time ends during which runs are not known whose jobs had finished before the takeover.
func (l *ledger) settledAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unknownRunsUntil
}

// recordWaiting records what waits in the pool after a pass, by workspace, and returns how many units
// of all pools wait for caps.
func (l *ledger) recordWaiting(p *pool, waiting map[string]waitingWork) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, work := range l.waiting[p] {
		l.heldUnits -= work.held
	}
	for _, work := range waiting {
		l.heldUnits += work.held
	}
	l.waiting[p] = waiting
	return l.heldUnits
}
