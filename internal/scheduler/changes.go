package scheduler

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Changes is what changed since the last call, as the scheduler needs it.
type Changes struct {
	Reset        bool // everything known before is void
	Teams        []*apiv1.Team
	TeamsChanged bool // Teams replaces the teams known before
	Jobs         []JobState
	Workers      []WorkerState
	Tasks        []TaskState
}

// JobState is a job as configured.
type JobState struct {
	Name          string
	Spec          *apiv1.Job // nil: the job is no longer configured; never changed in place
	NeverRunnable string     // why no task of it can ever run; empty otherwise
}

// WorkerState is a worker without its load.
type WorkerState struct {
	Name        string
	Boot        string
	Location    *apiv1.Location
	Capacity    resources.Amount
	Alive       bool
	Quarantined bool
	ProbeAt     int64 // Unix milliseconds from which one task may probe it; 0: a probe runs
	Removed     bool  // forgotten
}

// TaskState is a task and its live attempt, if it has one.
type TaskState struct {
	Job           string
	Index         int32
	State         apiv1.TaskState
	NextAttemptID string // of its next attempt
	NotBefore     int64  // Unix milliseconds
	Removed       bool   // the task is no longer wanted and holds nothing

	AttemptID     string // live attempt; empty: none. It holds capacity until it ends.
	Worker        string
	Amount        resources.Amount
	Team          string
	Borrowed      bool
	NonIdempotent bool // non-idempotent
	PlacedAt      int64
	Outdated      bool // placed from another version of the job
}
