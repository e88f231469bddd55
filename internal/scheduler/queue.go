package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// classOrder is the order in which classes are served.
var classOrder = []apiv1.Class{apiv1.Class_CLASS_URGENT, apiv1.Class_CLASS_NORMAL, apiv1.Class_CLASS_BULK}

// teamQueue holds the jobs of one team within one class.
type teamQueue struct {
	team          *team
	dominantShare float64
	jobs          []*job // next to place first
}

// deadlineAtRisk reports whether at most twice the job's expected run time is left
// until its deadline.
func (j *job) deadlineAtRisk(now int64) bool {
	deadline := j.spec.GetDeadlineUnixMs()
	if deadline == 0 {
		return false
	}
	run := j.spec.GetExpectedRunMs()
	if run == 0 {
		run = defaultRunMs
	}
	return now+2*run >= deadline
}

// queue is a heap of the teams of one class: first those whose next job has its
// deadline at risk, then those with the smallest dominant share.
type queue struct {
	now           int64
	totalCapacity resources.Amount
	teams         []*teamQueue
}

func (q *queue) Len() int { return len(q.teams) }

func (q *queue) Less(i, j int) bool {
	a, b := q.teams[i], q.teams[j]
	if aAtRisk, bAtRisk := a.jobs[0].deadlineAtRisk(q.now), b.jobs[0].deadlineAtRisk(q.now); aAtRisk != bAtRisk {
		return aAtRisk
	}
	if a.dominantShare != b.dominantShare {
		return a.dominantShare < b.dominantShare
	}
	return a.team.name < b.team.name
}

func (q *queue) Swap(i, j int) { q.teams[i], q.teams[j] = q.teams[j], q.teams[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { q.teams = append(q.teams, x.(*teamQueue)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.teams) - 1
	x := q.teams[last]
	q.teams = q.teams[:last]
	return x
}

// newQueue returns a queue of the given jobs of one class.
func (c *Cell) newQueue(jobs []*job) *queue {
	q := &queue{now: c.now, totalCapacity: c.totalCapacity}
	byTeam := make(map[string]*teamQueue)
	for _, j := range jobs {
		name := j.spec.GetTeam()
		tq, ok := byTeam[name]
		if !ok {
			t := c.team(name)
			tq = &teamQueue{team: t, dominantShare: t.dominantShare(c.totalCapacity)}
			byTeam[name] = tq
			q.teams = append(q.teams, tq)
		}
		tq.jobs = append(tq.jobs, j)
	}
	for _, tq := range q.teams {
		slices.SortFunc(tq.jobs, func(a, b *job) int { return c.compareJobs(a, b) })
	}
	heap.Init(q)
	return q
}

// compareJobs orders a team's jobs: first those with their deadline at risk, by
// deadline, then those that have waited longest.
func (c *Cell) compareJobs(a, b *job) int {
	aAtRisk, bAtRisk := a.deadlineAtRisk(c.now), b.deadlineAtRisk(c.now)
	switch {
	case aAtRisk && !bAtRisk:
		return -1
	case bAtRisk && !aAtRisk:
		return 1
	case aAtRisk && bAtRisk:
		if by := cmp.Compare(a.spec.GetDeadlineUnixMs(), b.spec.GetDeadlineUnixMs()); by != 0 {
			return by
		}
	}
	if by := cmp.Compare(a.dueSince, b.dueSince); by != 0 {
		return by
	}
	return cmp.Compare(a.name, b.name)
}

// advance restores the heap after the first team's job was tried; done removes
// that job.
func (q *queue) advance(done bool) {
	tq := q.teams[0]
	if done {
		tq.jobs = tq.jobs[1:]
	}
	if len(tq.jobs) == 0 {
		heap.Pop(q)
		return
	}
	tq.dominantShare = tq.team.dominantShare(q.totalCapacity)
	heap.Fix(q, 0)
}
