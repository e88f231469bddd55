package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// victims counts the live attempts that can be preempted, so that a job that
// can preempt nothing costs no search.
type victims struct {
	borrowed int
	own      map[apiv1.Class]int // within their teams' quotas, gangs left out
}

// preemptible reports whether the attempt can be stopped for another job's sake.
func (r *running) preemptible() bool {
	return !r.once && !r.stopping && r.kind != apiv1.JobKind_JOB_KIND_SERVICE
}

// count adds the attempt, or takes it off.
func (v *victims) count(r *running, by int) {
	switch {
	case !r.preemptible():
	case r.borrowed:
		v.borrowed += by
	case r.kind != apiv1.JobKind_JOB_KIND_GANG:
		v.own[r.class] += by
	}
}

// any reports whether there is an attempt that may yield to a job.
func (c *Cell) anyVictim(j *job) bool {
	urgent := j.class() == apiv1.Class_CLASS_URGENT
	if c.victims.borrowed > 0 && (urgent || c.team(j.spec.GetTeam()).limited) {
		return true
	}
	return urgent && c.victims.own[apiv1.Class_CLASS_NORMAL]+c.victims.own[apiv1.Class_CLASS_BULK] > 0
}
