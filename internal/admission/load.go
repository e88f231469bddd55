package admission

import "math"

// minUtilization bounds the share of the capacity that is assumed to serve the backlog, if less
// was in use lately: the pool was idle, or has just started.
const minUtilization = 0.5

// Load is the load of a pool after a scheduling pass, and the jobs accepted since.
type Load struct {
	known       bool
	capacity    Amounts // for work that ends
	utilization float64 // share of the scarcest resource that serves such work
	idle        []Amounts
	withinRate  backlog // of jobs within the rates
	overRate    backlog
	workspaces  map[string]*workspaceLoad
	totalWeight float64 // of the workspaces with work
}

// workspaceLoad is the work of a workspace within its rate.
type workspaceLoad struct {
	weight  float64
	backlog backlog
}

// NewLoad returns a load without waiting work. Capacity is that of all workers, without what is
// taken by runs that never end; utilization is the share of it that is in use. Idle holds what is
// free on each worker. Without capacity nothing is known.
func NewLoad(capacity Amounts, utilization float64, idle []Amounts) *Load {
	return &Load{
		known: capacity[cpu] > 0, capacity: capacity, utilization: min(1, max(minUtilization, utilization)),
		idle: idle, workspaces: make(map[string]*workspaceLoad),
	}
}

// Active reports whether the workspace was activated.
func (l *Load) Active(workspace string) bool { return l.workspaces[workspace] != nil }

// Activate records that a workspace has running or waiting work.
func (l *Load) Activate(workspace string, weight float64) {
	if workspace == "" || l.Active(workspace) {
		return
	}
	l.workspaces[workspace] = &workspaceLoad{weight: weight}
	l.totalWeight += weight
}

// AddWaiting adds waiting work. Its workspace has been activated.
func (l *Load) AddWaiting(w Waiting) {
	if w.OverRate {
		l.overRate.add(w)
		return
	}
	l.withinRate.add(w)
	if own := l.workspaces[w.Workspace]; own != nil {
		own.backlog.add(w)
	}
}

// accept adds a job that was accepted after the pass. It waits unless there is room for it.
func (l *Load) accept(j *Job, overRate bool) {
	l.Activate(j.Workspace, j.Rate)
	if l.hasRoom(j) {
		l.takeRoom(j)
		return
	}
	l.AddWaiting(j.waiting(overRate))
}

// hasRoom reports whether some task of the job, or a whole gang, fits into what is idle.
func (l *Load) hasRoom(j *Job) bool {
	for _, tasks := range j.Tasks {
		needed := 1
		if tasks.Gang {
			needed = tasks.Count
		}
		for _, free := range l.idle {
			if needed -= tasks.Size.fitCount(free, needed); needed <= 0 {
				return true
			}
		}
	}
	return false
}

// takeRoom removes what the job's tasks take from what is idle.
func (l *Load) takeRoom(j *Job) {
	for _, tasks := range j.Tasks {
		left := tasks.Count
		for i := range l.idle {
			if left == 0 {
				break
			}
			fitting := tasks.Size.fitCount(l.idle[i], left)
			l.idle[i] = l.idle[i].Plus(tasks.Size.Times(-float64(fitting)))
			left -= fitting
		}
	}
}

// drainTime returns the seconds in which the share of the capacity does the work, beside an inflow
// that is placed before it and lasts for some seconds. It looks at the resources that the job needs
// and that the workers have.
func (l *Load) drainTime(j *Job, work Amounts, share float64, inflow Amounts, lasts float64) float64 {
	longest := 0.0
	for i := range work {
		if j.Work[i] <= 0 || l.capacity[i] <= 0 || work[i] <= 0 {
			continue
		}
		if share <= 0 {
			return math.Inf(1)
		}
		rate := l.capacity[i] * l.utilization * share
		left := max(0, rate-inflow[i])
		if doneMeanwhile := left * lasts; doneMeanwhile < work[i] {
			longest = max(longest, lasts+(work[i]-doneMeanwhile)/rate)
		} else {
			longest = max(longest, work[i]/left)
		}
	}
	return longest
}

// fairShare returns the share of the capacity that the job's workspace is due while all
// workspaces with work want theirs. Jobs without a workspace have none.
func (l *Load) fairShare(j *Job) float64 {
	if j.Workspace == "" || j.Rate <= 0 {
		return 0
	}
	total := l.totalWeight
	if !l.Active(j.Workspace) {
		total += j.Rate
	}
	return j.Rate / max(total, j.Rate)
}

// othersWait returns the seconds for which the waiting work of others, within their rates, keeps
// the capacity busy.
func (l *Load) othersWait(j *Job) float64 {
	waiting := l.withinRate.waiting()
	if own := l.workspaces[j.Workspace]; own != nil {
		waiting = waiting.Plus(own.backlog.waiting().Times(-1))
	}
	return waiting.dominantShare(l.capacity) / l.utilization
}

// waitingTime returns the seconds for which all waiting work within the rates keeps the capacity
// busy.
func (l *Load) waitingTime() float64 {
	return l.withinRate.waiting().dominantShare(l.capacity) / l.utilization
}

// isEmpty reports whether nothing that has a value waits.
func (l *Load) isEmpty() bool {
	return l.withinRate.waiting() == Amounts{} && l.overRate.waiting() == Amounts{}
}
