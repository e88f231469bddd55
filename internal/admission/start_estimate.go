package admission

// startEstimate is when a job is expected to start, in seconds from now.
type startEstimate struct {
	onTime  float64 // while it can meet its objective
	late    float64 // once it can't
	backlog float64 // until the work ahead of it is done if nothing is added
}

// expectedStart returns the expected start of a job. A job of a workspace with a share starts at
// the latest when the workspace's own work ahead of it is done with that share, whatever others
// have waiting. A job over the rate has no such claim, and waits for all others. The inflow is
// expected to last for so many seconds more.
func (l *Load) expectedStart(j *Job, overRate bool, in *inflow, lasts float64) startEstimate {
	onTime, late := l.withinRate.aheadOnTime(j), l.withinRate.aheadLate(j)
	if overRate {
		onTime, late = onTime.Plus(l.overRate.aheadOnTime(j)), late.Plus(l.overRate.aheadLate(j))
	}
	inflowOnTime, inflowLate := in.before(j, overRate)
	e := startEstimate{
		onTime: l.drainTime(j, onTime, 1, inflowOnTime, lasts), late: l.drainTime(j, late, 1, inflowLate, lasts),
		backlog: l.drainTime(j, late, 1, Amounts{}, 0),
	}
	share := l.fairShare(j)
	if overRate || share <= 0 {
		return e
	}
	var own *backlog
	if load := l.workspaces[j.Workspace]; load != nil {
		own = &load.backlog
	}
	e.onTime = min(e.onTime, l.drainTime(j, own.aheadOnTime(j), share, Amounts{}, 0))
	e.late = min(e.late, l.drainTime(j, own.aheadLate(j), share, in.workspaces[j.Workspace], lasts))
	return e
}

// start returns the expected start of the job: after the work ahead of it while it is on time,
// or later if it is late by then.
func (e startEstimate) start(j *Job) float64 {
	if e.onTime <= j.Slack.Seconds() {
		return e.onTime
	}
	return max(e.onTime, e.late)
}

// margin is by which factors a job may start sooner than expected.
type margin struct {
	onTime float64 // while it can meet its objective
	late   float64 // once it can't
}

// hopeless reports whether the job would have no value, also if it starts sooner than expected by
// the margin.
func (e startEstimate) hopeless(j *Job, m margin) bool {
	if e.onTime/m.onTime <= j.Slack.Seconds() {
		return false
	}
	return max(e.onTime, e.late)/m.late > max(j.Limit, minHopelessStart).Seconds()
}
