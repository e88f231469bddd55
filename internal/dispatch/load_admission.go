package dispatch

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/admission"
)

// loadAdmission is what a pool knows for decisions on new jobs. The pool's lock guards it.
type loadAdmission struct {
	gate        *admission.Gate
	ratios      *admission.Ratios
	utilization float64       // moving average of the share of the capacity in use
	measuredAt  time.Time     // when the load was last measured
	measureTime time.Duration // what that took
}

// newLoadAdmission returns nil if jobs are admitted whatever the load.
func newLoadAdmission(enabled bool) *loadAdmission {
	if !enabled {
		return nil
	}
	return &loadAdmission{gate: admission.NewGate(), ratios: admission.NewRatios()}
}

// admitByLoad decides on a new job by the rate of its workspace and the work that waits before it.
// The caller holds the lock.
//
// Load pattern: more work arrives than the workers can do. If all of it is accepted, nearly
// every job is late, and capacity goes to jobs whose result has no value any more.
func (p *pool) admitByLoad(submitted *apiv1.CallerJob, now time.Time) Admission {
	if p.loadAdmission == nil {
		return Admission{}
	}
	return p.d.admissionOf(p.d.rates.decide(now, p.admissionJob(submitted, now), p.loadAdmission.gate))
}

// admissionJob returns what the decision needs to know of a new job.
func (p *pool) admissionJob(submitted *apiv1.CallerJob, now time.Time) *admission.Job {
	queue, ratios := submitted.GetQueue(), p.loadAdmission.ratios
	j := newJob(&apiv1.JobProgress{Job: submitted}, now, submitted.GetAcceptedUnixMs())
	path := j.criticalPath()
	result := &admission.Job{
		Queue: queue.GetName(), Workspace: submitted.GetWorkspace(), Priority: queue.GetPriority(),
		Slack: j.objective - path,
		// The job is judged by a short duration, since its own is not known.
		Limit:     lateObjectiveFactor*j.objective - time.Duration(ratios.Low(queue.GetName())*float64(path)),
		Unlimited: j.spec.GetRepeatCount() > 0,
		Remaining: j.remainingWork(0),
	}
	result.Rate, result.Rated = p.d.rateOf(submitted)
	switch {
	case result.Slack <= 0:
		result.Band = admission.BandLate
	case result.Priority > 0:
		result.Band = admission.BandOnTime
	}
	mean := ratios.Mean(queue.GetName())
	for _, u := range j.units[:len(j.spec.GetSteps())] { // of the first occurrence
		result.Unlimited = result.Unlimited || u.spec.GetLongRunning()
		result.Work = result.Work.Plus(u.remainingWork(u.remaining, mean))
		if len(u.spec.GetDependsOn()) == 0 {
			result.Tasks = append(result.Tasks, admission.TaskSet{Size: u.size.amounts(), Count: u.remaining, Gang: u.spec.GetGang()})
		}
	}
	return result
}

// learnDuration learns from a run that is done how far the estimates of its queue are off. Runs
// whose start this leader has not seen, that continue earlier ones or that depend on what others
// leave idle tell nothing.
func (p *pool) learnDuration(r *run, end EndedRun, now time.Time) {
	u := r.task.unit
	if p.loadAdmission == nil || end.Outcome != apiv1.RunOutcome_RUN_OUTCOME_DONE || r.decidedAt.IsZero() ||
		r.task.checkpoint != "" || u.spec.GetFiller() || u.spec.GetLongRunning() {
		return
	}
	p.loadAdmission.ratios.Record(u.job.queue.GetName(), u.estimate(), now.Sub(r.startSent))
}

// lateOrder returns the remaining work by which the unit is ordered among late ones of its
// priority; 0 if they are ordered by their latest start.
//
// Load pattern: an overload of many small jobs and few large ones, all late. In the order of
// their latest start, each large one delays many small ones beyond the time at which they still
// have a value.
func (p *pool) lateOrder(u *unit) float64 {
	if p.loadAdmission == nil || u.rank.band < bandLate {
		return 0
	}
	return u.job.remainingWork(u.occurrence)
}
