package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// preemptibleCounts counts the live attempts that can be preempted, so that a job that
// can preempt nothing costs no search.
type preemptibleCounts struct {
	borrowed    int
	withinQuota map[apiv1.Class]int // within their teams' quotas, gangs left out
}

// preemptible reports whether the attempt can be stopped for another job's sake.
func (r *liveAttempt) preemptible() bool {
	return !r.nonIdempotent && !r.stopping && r.kind != apiv1.JobKind_JOB_KIND_SERVICE
}

// add adds the attempt, or takes it off.
func (v *preemptibleCounts) add(r *liveAttempt, by int) {
	switch {
	case !r.preemptible():
	case r.borrowed:
		v.borrowed += by
	case r.kind != apiv1.JobKind_JOB_KIND_GANG:
		v.withinQuota[r.class] += by
	}
}

// any reports whether there is an attempt that may yield to a job.
func (c *Cell) hasVictim(j *job) bool {
	urgent := j.class() == apiv1.Class_CLASS_URGENT
	if c.preemptible.borrowed > 0 && (urgent || c.team(j.spec.GetTeam()).hasQuota) {
		return true
	}
	return urgent && c.preemptible.withinQuota[apiv1.Class_CLASS_NORMAL]+c.preemptible.withinQuota[apiv1.Class_CLASS_BULK] > 0
}
