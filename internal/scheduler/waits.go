package scheduler

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// WaitReasons returns the reasons why tasks of the job wait; nil: none waits, or
// the job is unknown.
func (c *Cell) WaitReasons(name string) []*apiv1.WaitReason {
	j, ok := c.jobs[name]
	if !ok || j.spec == nil {
		return nil
	}
	var reasons []*apiv1.WaitReason
	if j.neverRunnable != "" {
		return append(reasons, &apiv1.WaitReason{Filter: ReasonNeverRunnable, Detail: j.neverRunnable})
	}
	reasons = append(reasons, c.timeReasons(j)...)
	if len(j.dueTasks) == 0 {
		return reasons
	}
	if j.isGang() && !j.allTasksDue() {
		return append(reasons, &apiv1.WaitReason{
			Filter: ReasonGang,
			Detail: fmt.Sprintf("%d of %d tasks can start", len(j.dueTasks), j.spec.GetCount()),
		})
	}
	reasons = append(reasons, c.quotaReasons(j)...)
	reasons = append(reasons, c.filterReasons(j)...)
	if res, ok := c.reservations[name]; ok {
		reasons = append(reasons, &apiv1.WaitReason{
			Filter:  ReasonReservation,
			Workers: int32(len(res.amounts)),
			Detail:  fmt.Sprintf("room is kept for this job, expected in %d s", max(0, res.availableAt-c.now)/1000),
		})
	}
	return reasons
}

func (c *Cell) timeReasons(j *job) []*apiv1.WaitReason {
	if j.delayedTasks == 0 {
		return nil
	}
	release := j.spec.GetReleaseUnixMs()
	if release > c.now {
		return []*apiv1.WaitReason{{
			Filter: ReasonReleaseTime,
			Detail: fmt.Sprintf("due in %d s", (release-c.now)/1000),
		}}
	}
	return []*apiv1.WaitReason{{
		Filter: ReasonRetry,
		Detail: fmt.Sprintf("%d tasks pause after a failure", j.delayedTasks),
	}}
}

func (c *Cell) quotaReasons(j *job) []*apiv1.WaitReason {
	if !c.borrows(j) {
		return nil
	}
	detail := fmt.Sprintf("team %q uses its quota", j.spec.GetTeam())
	if j.mayBorrow() {
		detail += "; the job may borrow what no other team claims"
	}
	return []*apiv1.WaitReason{{Filter: ReasonQuota, Detail: detail}}
}

// filterReasons returns, for each filter, how many workers it was the first to
// reject.
func (c *Cell) filterReasons(j *job) []*apiv1.WaitReason {
	request := c.newRequest(j)
	filters := c.filters()
	refused := make([]int32, len(filters))
	for _, w := range c.workers {
		for at, filter := range filters {
			if !filter.Pass(request, w) {
				refused[at]++
				break
			}
		}
	}
	var reasons []*apiv1.WaitReason
	for at, filter := range filters {
		if refused[at] > 0 {
			reasons = append(reasons, &apiv1.WaitReason{Filter: filter.Name(), Workers: refused[at]})
		}
	}
	return reasons
}
