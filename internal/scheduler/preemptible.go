package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// preemptibleCounts counts the preemptible live attempts, so that no search for
// victims runs when there are none.
type preemptibleCounts struct {
	borrowed    int
	withinQuota map[apiv1.Class]int // not borrowed, by class, without gangs
}

// preemptible reports whether the attempt may be stopped for another job.
func (a *liveAttempt) preemptible() bool {
	return !a.nonIdempotent && !a.stopping && a.kind != apiv1.JobKind_JOB_KIND_SERVICE
}

// add adds by to the count that the attempt belongs to.
func (v *preemptibleCounts) add(a *liveAttempt, by int) {
	switch {
	case !a.preemptible():
	case a.borrowed:
		v.borrowed += by
	case a.kind != apiv1.JobKind_JOB_KIND_GANG:
		v.withinQuota[a.class] += by
	}
}

// hasVictim reports whether there may be an attempt that can be preempted for the
// job.
func (c *Cell) hasVictim(j *job) bool {
	urgent := j.class() == apiv1.Class_CLASS_URGENT
	if c.preemptible.borrowed > 0 && (urgent || c.team(j.spec.GetTeam()).hasQuota) {
		return true
	}
	return urgent && c.preemptible.withinQuota[apiv1.Class_CLASS_NORMAL]+c.preemptible.withinQuota[apiv1.Class_CLASS_BULK] > 0
}
