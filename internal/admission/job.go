package admission

import "time"

// Job is a new job.
type Job struct {
	Queue     string
	Workspace string  // empty: none, and no rate
	Rate      float64 // jobs a second that the workspace is entitled to; its weight
	Rated     bool    // the workspace has a rate
	Band      Band    // the band in which it begins
	Priority  int32
	Slack     time.Duration // until the latest start with which it meets its objective
	Limit     time.Duration // until the latest start with which it has any value
	Unlimited bool          // it runs repeatedly or without an end, so no start is too late
	Remaining float64       // its work in core-seconds
	Work      Amounts       // its work, corrected by the learned ratio
	Tasks     []TaskSet     // of the steps that can start at once
}

// TaskSet is a number of equal tasks.
type TaskSet struct {
	Size  Amounts // of one task
	Count int
	Gang  bool // they start together
}

// waiting returns the job's work as waiting work.
func (j *Job) waiting(overRate bool) Waiting {
	return Waiting{
		Workspace: j.Workspace, OverRate: overRate, Band: j.Band, Priority: j.Priority,
		Slack: j.Slack, Remaining: j.Remaining, Work: j.Work,
	}
}
