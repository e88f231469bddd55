package scheduler

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Changes holds what changed in the task table since the previous Changes.
type Changes struct {
	Reset        bool // the changes hold the full state; discard the previous one
	Teams        []*apiv1.Team
	TeamsChanged bool // Teams replaces all previous teams
	Jobs         []JobState
	Workers      []WorkerState
	Tasks        []TaskState
}

// JobState is a job's configuration.
type JobState struct {
	Name          string
	Spec          *apiv1.Job // must not be modified; nil: the job is no longer configured
	NeverRunnable string     // why its tasks can never run; empty: they can
}

// WorkerState is a worker's state without its load.
type WorkerState struct {
	Name        string
	Boot        string
	Location    *apiv1.Location
	Capacity    resources.Amount
	Alive       bool
	Quarantined bool
	ProbeAt     int64 // Unix milliseconds from which one task may probe a quarantined worker; 0: a probe is running
	Removed     bool  // the worker was removed from the table
}

// TaskState is a task's state and its live attempt, if it has one.
type TaskState struct {
	Job           string
	Index         int32
	State         apiv1.TaskState
	NextAttemptID string // id of the attempt that is placed next
	NotBefore     int64  // Unix milliseconds before which the task must not start
	Removed       bool   // the task is no longer wanted and has no live attempt

	AttemptID     string // live attempt, which holds capacity until it ends; empty: none
	Worker        string
	Amount        resources.Amount
	Team          string
	Borrowed      bool
	NonIdempotent bool
	PlacedAt      int64
	Outdated      bool // placed from another version of the job
}
