package dispatch

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Processor time that the operations of a leader take in a budgetedLeader.
const (
	admitCost    = 100 * time.Microsecond // of a job, if it is refused as well
	acceptCost   = 300 * time.Microsecond // of a job
	startCost    = 350 * time.Microsecond // of a run
	endCost      = 250 * time.Microsecond // of a run
	tryCost      = 25 * time.Microsecond  // of a unit, in a pass
	visitCost    = 100 * time.Nanosecond  // of a unit that a pass does not try
	startSlots   = 248
	stopDuration = 5 * time.Millisecond // until a run that is to be stopped has ended
)

// budgetedLeader drives the passes of one pool with fake workers. Each operation takes the processor for a fixed virtual time, and
// all others wait meanwhile, so that what is done in time depends on counts of operations and not on the machine.
type budgetedLeader struct {
	*pool
	events          leaderEvents
	scheduled       map[*run]bool
	all, urgent     passTimes
	urgentRequested bool
	requested       bool
	created         int                   // jobs and events
	refused         int                   // jobs
	asked, inTime   map[time.Duration]int // urgent jobs by the second of their arrival
	begin           time.Time
}

// leaderEvent is an operation that the leader executes at the time or, if it is busy, later.
type leaderEvent struct {
	at      time.Time
	number  int // in the order of their creation
	cost    time.Duration
	execute func()
}

type leaderEvents []leaderEvent

func (e leaderEvents) Len() int { return len(e) }
func (e leaderEvents) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].number, e[j].number)) < 0
}
func (e leaderEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *leaderEvents) Push(x any)   { *e = append(*e, x.(leaderEvent)) }
func (e *leaderEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newBudgetedLeader(workers int) *budgetedLeader {
	l := &budgetedLeader{
		pool: fullPool(0), scheduled: make(map[*run]bool), begin: time.Now(),
		inTime: make(map[time.Duration]int), asked: make(map[time.Duration]int),
	}
	l.d.orderSlots = newCallSlots(startSlots)
	l.loadAdmission = newLoadAdmission(true)
	for i := range workers {
		w := l.addWorker(newFakeWorker(fmt.Sprintf("i-%03d", i), 16_000).record)
		w.synced = true
		w.observeClock(1, time.Now())
	}
	return l
}

// schedule adds an event. Events of the same time are executed in the order of their creation.
func (l *budgetedLeader) schedule(at time.Time, cost time.Duration, execute func()) {
	l.created++
	heap.Push(&l.events, leaderEvent{at: at, number: l.created, cost: cost, execute: execute})
}

// submit lets jobs of the queue arrive at a constant rate.
func (l *budgetedLeader) submit(from, to time.Duration, perSecond int, queue *apiv1.Queue, step *apiv1.JobStep) {
	for at := from; at < to; at += time.Second / time.Duration(perSecond) {
		l.schedule(l.begin.Add(at), admitCost, func() { l.accept(at, queue, step) })
	}
}

func (l *budgetedLeader) accept(at time.Duration, queue *apiv1.Queue, step *apiv1.JobStep) {
	if queue.GetPriority() == 0 {
		l.asked[at.Truncate(time.Second)]++
	}
	l.created++
	submitted := &apiv1.CallerJob{
		Id: fmt.Sprintf("%016x", l.created), Queue: queue, Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{step}},
		AcceptedUnixMs: l.begin.Add(at).UnixMilli(),
	}
	if l.admitByLoad(submitted, time.Now()).Refused {
		l.refused++
		return
	}
	time.Sleep(acceptCost)
	l.addAcceptedJob(newJob(&apiv1.JobProgress{Job: submitted}, time.Now(), time.Now().UnixMilli()))
}

// scheduleRuns schedules what comes of the runs that a pass has decided to start or stop.
func (l *budgetedLeader) scheduleRuns() {
	var started []*run
	for _, w := range l.workerList {
		for _, r := range w.runs {
			switch {
			case r.phase == phaseStopping && l.scheduled[r]:
				l.scheduled[r] = false
				l.schedule(time.Now().Add(stopDuration), endCost, func() { l.end(r, apiv1.RunOutcome_RUN_OUTCOME_STOPPED) })
			case r.phase == phaseStarting && !l.scheduled[r]:
				l.scheduled[r] = true
				started = append(started, r)
			}
		}
	}
	slices.SortFunc(started, func(a, b *run) int { return cmp.Or(strings.Compare(a.name, b.name), cmp.Compare(a.number, b.number)) })
	for _, r := range started {
		l.schedule(time.Now(), startCost, func() { l.start(r) })
	}
}

// start sends the start request of a run, whose task runs for its estimate.
func (l *budgetedLeader) start(r *run) {
	l.d.orderSlots.unplan()
	l.d.resumeCutPasses()
	if r.phase == phaseStarting {
		l.schedule(time.Now().Add(r.task.unit.estimate()), endCost, func() { l.end(r, done) })
	}
}

// end applies the end of a run, unless it has ended before.
func (l *budgetedLeader) end(r *run, outcome apiv1.RunOutcome) {
	if r.worker.runs[r.key()] != r {
		return
	}
	r.worker.removeRun(r)
	delete(l.scheduled, r)
	j := r.task.unit.job
	l.applyEnd(r.worker, EndedRun{Sequence: 1, Task: r.name, Run: r.number, Outcome: outcome})
	if j.removed && j.queue.GetPriority() == 0 && time.Since(j.accepted) <= j.objective {
		l.inTime[j.accepted.Sub(l.begin).Truncate(time.Second)]++
	}
	l.requestPass()
}

// pass runs a pass, and lets it take the processor time of the units that it looks at.
func (l *budgetedLeader) pass(times *passTimes, run func()) {
	times.begin = time.Now()
	tried := l.d.counters.unitsTried.Count()
	run()
	l.scheduleRuns()
	tried = l.d.counters.unitsTried.Count() - tried
	time.Sleep(time.Duration(tried)*tryCost + time.Duration(len(l.waitList.parked)+len(l.waitList.others))*visitCost)
	times.end = time.Now()
}

// runUntil executes passes and events until the time since the begin.
func (l *budgetedLeader) runUntil(end time.Duration) {
	for now := time.Now(); now.Sub(l.begin) < end; now = time.Now() {
		l.d.leaderLease.renewLease(l.d.Clock.Read())
		select {
		case <-l.wakeup:
			l.requested = true
		case <-l.urgentWakeup:
			l.urgentRequested = true
		default:
		}
		all := l.all.end.Add(idlePassInterval)
		if l.requested {
			all = l.all.end.Add(l.all.delay(l.all.end))
		}
		urgent := l.urgent.end.Add(l.urgent.delay(l.urgent.end))
		switch {
		case !now.Before(all):
			l.requested, l.urgentRequested = false, false
			l.pass(&l.all, l.runPass)
		case l.urgentRequested && !now.Before(urgent):
			l.urgentRequested = false
			l.pass(&l.urgent, l.runUrgentPass)
		case len(l.events) > 0 && !now.Before(l.events[0].at):
			e := heap.Pop(&l.events).(leaderEvent)
			time.Sleep(e.cost)
			e.execute()
		default:
			time.Sleep(100 * time.Microsecond)
		}
	}
}

// countInTime returns how many of the urgent jobs that arrived from begin to end were done in time.
func (l *budgetedLeader) countInTime(begin, end time.Duration) int {
	return countBetween(l.inTime, begin, end)
}

// shareInTime returns the share of the urgent jobs that arrived from begin to end, refused ones included, that were done in time.
func (l *budgetedLeader) shareInTime(begin, end time.Duration) float64 {
	return float64(countBetween(l.inTime, begin, end)) / float64(countBetween(l.asked, begin, end))
}

// countBetween returns the sum of the counts of the seconds from begin to end.
func countBetween(counts map[time.Duration]int, begin, end time.Duration) int {
	total := 0
	for at := begin; at < end; at += time.Second {
		total += counts[at]
	}
	return total
}
