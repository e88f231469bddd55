package dispatch

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/state/jobs"
)

// job is an accepted job that has not finished.
type job struct {
	id              string
	queue           *apiv1.Queue
	spec            *apiv1.JobSpec
	workspace       string // of the key with which it was submitted; empty: none
	overRate        bool   // submitted beyond the rate of its workspace
	accepted        time.Time
	units           []*unit // by occurrence, then step
	unfinishedUnits int     // number of units with tasks that are not done
	removed         bool    // from the pool
	placed          bool    // this leader has decided to start some task or adopted its run
	startSent       bool    // this leader has sent a start request of some task, or adopted its run
	started         bool    // some task was started, by any leader
	// objective is the time from acceptance, or from the due time of an
	// occurrence, within which the job has its full value.
	objective time.Duration
}

// newJob builds a job from its progress in the replicated table. Active runs of
// the job are not part of that progress; they are added when workers report them.
func newJob(p *apiv1.JobProgress, now time.Time, nowUnixMs int64) *job {
	accepted := p.GetJob()
	j := &job{
		id: accepted.GetId(), queue: accepted.GetQueue(), spec: accepted.GetSpec(),
		workspace: accepted.GetWorkspace(), overRate: accepted.GetOverRate(),
	}
	age := time.Duration(max(0, nowUnixMs-accepted.GetAcceptedUnixMs())) * time.Millisecond
	j.accepted = now.Add(-age)
	for occurrence := range jobs.Occurrences(j.spec) {
		for step, spec := range j.spec.GetSteps() {
			u := &unit{job: j, occurrence: occurrence, step: step, spec: spec, size: taskResources(spec), countedSize: countedResources(spec)}
			u.restore(stepProgress(p, len(j.units)))
			j.units = append(j.units, u)
			if u.remaining > 0 {
				j.unfinishedUnits++
			}
		}
	}
	for _, u := range j.units {
		u.remainingPath = j.criticalPathAfter(u.step)
	}
	stretched := time.Duration(j.queue.GetSlackFactor() * float64(j.criticalPath()))
	j.objective = stretched + time.Duration(j.queue.GetLatencyTargetMs())*time.Millisecond
	return j
}

// stepProgress returns the progress of the unit at the position, or nil.
func stepProgress(p *apiv1.JobProgress, position int) *apiv1.StepProgress {
	if position < len(p.GetSteps()) {
		return p.GetSteps()[position]
	}
	return nil
}

// restore sets the unit's tasks from its replicated progress, which may be nil.
func (u *unit) restore(p *apiv1.StepProgress) {
	u.remaining = int(u.spec.GetCount())
	for i := range int(u.spec.GetCount()) {
		t := &task{unit: u, index: i}
		if i < len(p.GetDone()) && p.GetDone()[i] == 1 {
			t.done = true
			u.remaining--
		}
		if u.spec.GetGang() {
			t.checkpoint = p.GetCheckpoints()[0]
		} else {
			t.checkpoint = p.GetCheckpoints()[int32(i)]
		}
		u.tasks = append(u.tasks, t)
	}
	for _, failed := range p.GetFailed() {
		if int(failed.GetIndex()) >= len(u.tasks) {
			continue
		}
		for _, number := range failed.GetRuns() {
			u.observeRunNumber(number)
			u.tasks[failed.GetIndex()].addFailure(number)
		}
	}
	for _, crashed := range p.GetCrashed() {
		if int(crashed.GetIndex()) < len(u.tasks) {
			u.restoreCrashes(u.tasks[crashed.GetIndex()], crashed)
		}
	}
}

// restoreCrashes sets the crashes of workers under a task.
func (u *unit) restoreCrashes(t *task, crashed *apiv1.CrashedRuns) {
	t.crashes = jobs.Crashes{Runs: crashed.GetRuns(), AttributedRuns: crashed.GetAttributedRuns(), AloneRuns: crashed.GetAloneRuns()}
	u.mostCrashes = max(u.mostCrashes, t.crashes.Count())
	for _, number := range crashed.GetRuns() {
		u.observeRunNumber(number)
	}
}

func (j *job) unit(occurrence, step int) *unit {
	return j.units[occurrence*len(j.spec.GetSteps())+step]
}

// criticalPathAfter returns the estimated length of the longest chain of steps
// that depend on the given one, without that step itself.
func (j *job) criticalPathAfter(step int) time.Duration {
	steps := j.spec.GetSteps()
	pathAfter := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= step; i-- {
		for _, dependency := range steps[i].GetDependsOn() {
			if int(dependency) < i {
				ownEstimate := time.Duration(steps[i].GetEstimateMs()) * time.Millisecond
				pathAfter[dependency] = max(pathAfter[dependency], ownEstimate+pathAfter[i])
			}
		}
	}
	return pathAfter[step]
}

// criticalPath returns the estimated length of the job's longest chain of
// dependent steps.
func (j *job) criticalPath() time.Duration {
	var longest time.Duration
	for step, spec := range j.spec.GetSteps() {
		if len(spec.GetDependsOn()) == 0 {
			longest = max(longest, time.Duration(spec.GetEstimateMs())*time.Millisecond+j.criticalPathAfter(step))
		}
	}
	return longest
}
