package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// classes in the order in which they are served.
var classes = []apiv1.Class{apiv1.Class_CLASS_URGENT, apiv1.Class_CLASS_NORMAL, apiv1.Class_CLASS_BULK}

// turn is a team that waits for its next placement within one class.
type turn struct {
	team  *team
	share float64
	jobs  []*job // next one first
}

// pressing reports whether the job misses its deadline unless it starts soon.
func (j *job) pressing(now int64) bool {
	deadline := j.spec.GetDeadlineUnixMs()
	if deadline == 0 {
		return false
	}
	run := j.spec.GetExpectedRunMs()
	if run == 0 {
		run = unknownRunMs
	}
	return now+2*run >= deadline
}

// queue serves the teams of one class: jobs that press first, then the team
// that uses the smallest share of its quota.
type queue struct {
	now   int64
	whole resources.Amount
	turns []*turn
}

func (q *queue) Len() int { return len(q.turns) }

func (q *queue) Less(i, j int) bool {
	a, b := q.turns[i], q.turns[j]
	if pa, pb := a.jobs[0].pressing(q.now), b.jobs[0].pressing(q.now); pa != pb {
		return pa
	}
	if a.share != b.share {
		return a.share < b.share
	}
	return a.team.name < b.team.name
}

func (q *queue) Swap(i, j int) { q.turns[i], q.turns[j] = q.turns[j], q.turns[i] }

// Push is heap.Interface's.
func (q *queue) Push(x any) { q.turns = append(q.turns, x.(*turn)) }

// Pop is heap.Interface's.
func (q *queue) Pop() any {
	last := len(q.turns) - 1
	x := q.turns[last]
	q.turns = q.turns[:last]
	return x
}

// queueOf returns the queue of the jobs of a class that may be tried now.
func (c *Cell) queueOf(jobs []*job) *queue {
	q := &queue{now: c.now, whole: c.whole}
	byTeam := make(map[string]*turn)
	for _, j := range jobs {
		name := j.spec.GetTeam()
		one, ok := byTeam[name]
		if !ok {
			account := c.team(name)
			one = &turn{team: account, share: account.share(c.whole)}
			byTeam[name] = one
			q.turns = append(q.turns, one)
		}
		one.jobs = append(one.jobs, j)
	}
	for _, one := range q.turns {
		slices.SortFunc(one.jobs, func(a, b *job) int { return c.compareJobs(a, b) })
	}
	heap.Init(q)
	return q
}

// compareJobs orders a team's jobs: pressing ones by deadline, then those that
// wait longest.
func (c *Cell) compareJobs(a, b *job) int {
	pa, pb := a.pressing(c.now), b.pressing(c.now)
	switch {
	case pa && !pb:
		return -1
	case pb && !pa:
		return 1
	case pa && pb:
		if by := cmp.Compare(a.spec.GetDeadlineUnixMs(), b.spec.GetDeadlineUnixMs()); by != 0 {
			return by
		}
	}
	if by := cmp.Compare(a.since, b.since); by != 0 {
		return by
	}
	return cmp.Compare(a.name, b.name)
}

// again puts the first turn back after its job was served; done drops the job.
func (q *queue) again(done bool) {
	one := q.turns[0]
	if done {
		one.jobs = one.jobs[1:]
	}
	if len(one.jobs) == 0 {
		heap.Pop(q)
		return
	}
	one.share = one.team.share(q.whole)
	heap.Fix(q, 0)
}
