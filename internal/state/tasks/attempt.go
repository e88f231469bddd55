package tasks

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// attempt is one committed placement of a task. A write to its mutable fields
// needs the shard locks of both its job and its worker; a read needs either.
type attempt struct {
	id         string
	job        string
	index      int32
	worker     string
	boot       string
	amount     resources.Amount
	generation string
	command    string
	team       string
	borrowed   bool
	placedAt   int64 // Unix milliseconds

	nonIdempotent  bool
	state          apiv1.TaskState
	startedAt      int64 // Unix milliseconds; 0 until it was reported as running
	checkpointStop bool
}

// message returns the attempt as a new protobuf message.
func (a *attempt) message() *apiv1.Attempt {
	return &apiv1.Attempt{
		Id:             a.id,
		Job:            a.job,
		Index:          a.index,
		Worker:         a.worker,
		Boot:           a.boot,
		Resources:      a.amount.Message(),
		State:          a.state,
		PlacedUnixMs:   a.placedAt,
		StartedUnixMs:  a.startedAt,
		Generation:     a.generation,
		Borrowed:       a.borrowed,
		Command:        a.command,
		CheckpointStop: a.checkpointStop,
		Team:           a.team,
		NonIdempotent:  a.nonIdempotent,
	}
}

func attemptFromMessage(m *apiv1.Attempt) *attempt {
	return &attempt{
		id:             m.GetId(),
		job:            m.GetJob(),
		index:          m.GetIndex(),
		worker:         m.GetWorker(),
		boot:           m.GetBoot(),
		amount:         resources.FromMessage(m.GetResources()),
		state:          m.GetState(),
		placedAt:       m.GetPlacedUnixMs(),
		startedAt:      m.GetStartedUnixMs(),
		generation:     m.GetGeneration(),
		borrowed:       m.GetBorrowed(),
		command:        m.GetCommand(),
		checkpointStop: m.GetCheckpointStop(),
		team:           m.GetTeam(),
		nonIdempotent:  m.GetNonIdempotent(),
	}
}

// stopping reports whether the attempt was ordered to stop and has not ended.
func (a *attempt) stopping() bool {
	return a.state == apiv1.TaskState_TASK_STATE_STOPPING
}
