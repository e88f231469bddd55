package state

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// ClaimsTable stores the claims of non-idempotent requests.
type ClaimsTable interface {
	Apply(nowUnixMs int64, batch *apiv1.ClaimBatch) *apiv1.ClaimBatchResult
	Lookup(key string) (*apiv1.ClaimState, bool)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// TasksTable stores workers, tasks and attempts.
type TasksTable interface {
	Configure(nowUnixMs int64, configuration *apiv1.Configuration)
	Apply(nowUnixMs int64, command *apiv1.PlacementCommand) *apiv1.PlacementResult
	Jobs() []*apiv1.JobStatus
	Job(name string) (*apiv1.JobStatus, []*apiv1.TaskStatus, bool)
	Workers() []*apiv1.WorkerStatus
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// JobsTable stores the jobs that callers submit.
type JobsTable interface {
	Apply(nowUnixMs int64, command *apiv1.JobsCommand) *apiv1.JobsResult
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}
