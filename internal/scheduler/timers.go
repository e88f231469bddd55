package scheduler

import "container/heap"

// timer is set for a task that is due later.
type timer struct {
	at    int64
	job   string
	index int32
}

// timers is a heap ordered by time.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

// delay sets a timer for the task's due time.
func (c *Cell) delay(j *job, index int32, t *task, due int64) {
	if t.dueAt == due {
		return
	}
	j.cancelDelay(t)
	t.dueAt = due
	j.delayedTasks++
	heap.Push(&c.timers, timer{at: due, job: j.name, index: index})
}

// cancelDelay clears the task's due time; its timer stays in the heap and is
// ignored.
func (j *job) cancelDelay(t *task) {
	if t.dueAt != 0 {
		t.dueAt = 0
		j.delayedTasks--
	}
}

// enqueueDue enqueues the tasks whose timers have expired.
func (c *Cell) enqueueDue() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		due := heap.Pop(&c.timers).(timer)
		j, ok := c.jobs[due.job]
		if !ok {
			continue
		}
		t, ok := j.tasks[due.index]
		if ok && t.dueAt == due.at {
			c.requeueTask(j, due.index, t)
		}
	}
}
