package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// maxUnavailableDivisor limits how many tasks of a service may be unavailable
// during a rolling update: a tenth of its count, and at least one.
const maxUnavailableDivisor = 10

// replaceOutdated does a rolling update: it stops outdated attempts of services, a
// few at a time. If the new version does not come up, the update halts.
func (c *Cell) replaceOutdated(d *Decision) {
	for _, name := range sortedKeys(c.rollingJobs) {
		j := c.rollingJobs[name]
		if j.spec == nil || !c.replaceOutdatedOf(j, d) {
			delete(c.rollingJobs, name)
		}
	}
}

// replaceOutdatedOf stops outdated attempts of one service, and reports whether
// there were any left. Only running ones count against the limit.
func (c *Cell) replaceOutdatedOf(j *job, d *Decision) bool {
	count := int(j.spec.GetCount())
	unavailable := count - j.runningTasks
	budget := max(1, count/maxUnavailableDivisor) - unavailable
	remaining := false
	for index := range int32(count) {
		t, ok := j.tasks[index]
		if !ok || t.live == nil || !t.live.outdated || t.live.stopping || t.live.nonIdempotent {
			continue
		}
		remaining = true
		isRunning := t.state == apiv1.TaskState_TASK_STATE_RUNNING
		if isRunning && budget <= 0 {
			continue
		}
		if isRunning {
			budget--
		}
		c.stopAttempt(t.live, d)
	}
	return remaining
}
