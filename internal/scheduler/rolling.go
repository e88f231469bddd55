package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// rollingShare bounds the tasks of a changed service that are away at one
// time, as a divisor of its count: a tenth, and at least one.
const rollingShare = 10

// roll replaces outdated attempts of services, a few at a time. A new version
// that does not come up stops the change.
func (c *Cell) roll(d *Decision) {
	for _, name := range sortedKeys(c.rolling) {
		j := c.rolling[name]
		if j.spec == nil || !c.rollJob(j, d) {
			delete(c.rolling, name)
		}
	}
}

// rollJob reports whether outdated attempts are left.
func (c *Cell) rollJob(j *job, d *Decision) bool {
	count := int(j.spec.GetCount())
	away := count - j.running
	budget := max(1, count/rollingShare) - away
	left := false
	for at := range int32(count) {
		k, ok := j.tasks[at]
		if !ok || k.live == nil || !k.live.outdated || k.live.stopping || k.live.once {
			continue
		}
		left = true
		serves := k.state == apiv1.TaskState_TASK_STATE_RUNNING
		if serves && budget <= 0 {
			continue
		}
		if serves {
			budget--
		}
		c.stopLive(k.live, d)
	}
	return left
}
