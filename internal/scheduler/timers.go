package scheduler

import "container/heap"

// timer is a task that becomes due.
type timer struct {
	at    int64
	job   string
	index int32
}

// timers is a heap, earliest first.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push is heap.Interface's.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop is heap.Interface's.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

// park makes the task due at the given time.
func (c *Cell) park(j *job, at int32, k *task, due int64) {
	if k.due == due {
		return
	}
	j.unpark(k)
	k.due = due
	j.parked++
	heap.Push(&c.timers, timer{at: due, job: j.name, index: at})
}

// unpark ends the task's wait for its time; its timer goes off in vain.
func (j *job) unpark(k *task) {
	if k.due != 0 {
		k.due = 0
		j.parked--
	}
}

// wakeDue enqueues the tasks whose time has come.
func (c *Cell) wakeDue() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		due := heap.Pop(&c.timers).(timer)
		j, ok := c.jobs[due.job]
		if !ok {
			continue
		}
		k, ok := j.tasks[due.index]
		if ok && k.due == due.at {
			c.settle(j, due.index, k)
		}
	}
}
