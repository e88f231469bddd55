package state

import (
	"sync"
	"sync/atomic"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
)

// Store holds the replicated state. Apply, Snapshot and Restore must be called by
// one goroutine at a time; all other methods are safe for concurrent use.
type Store struct {
	claims ClaimsTable
	tasks  TasksTable
	jobs   JobsTable

	configuration *configurationTable
	endpoints     *endpointTable
	audit         *auditTable
	revision      *revisionCounter

	mu        sync.RWMutex
	clusterID string

	nowUnixMs    atomic.Int64
	appliedIndex atomic.Uint64
}

var _ replica.StateMachine = (*Store)(nil)

// New returns a Store with empty state.
func New(options Options) *Store {
	return &Store{
		claims:        options.Claims,
		tasks:         options.Tasks,
		jobs:          options.Jobs,
		configuration: newConfigurationTable(),
		endpoints:     newEndpointTable(),
		audit:         newAuditTable(),
		revision:      newRevisionCounter(),
	}
}

// Apply applies the committed command of the given log index. A refused command
// changes only the replicated time, the applied index and the audit trail.
func (s *Store) Apply(index uint64, command *apiv1.Command) *apiv1.CommandResult {
	now := max(s.nowUnixMs.Load(), command.GetLeaderUnixMs())
	s.nowUnixMs.Store(now)
	result := s.applyBody(now, command)
	s.appliedIndex.Store(index)
	return result
}

func (s *Store) applyBody(nowUnixMs int64, command *apiv1.Command) *apiv1.CommandResult {
	switch body := command.GetBody().(type) {
	case *apiv1.Command_FormCluster:
		return s.applyFormCluster(nowUnixMs, body.FormCluster)
	case *apiv1.Command_Publish:
		return s.applyPublish(nowUnixMs, body.Publish)
	case *apiv1.Command_Endpoint:
		return s.applyEndpoint(nowUnixMs, body.Endpoint)
	case *apiv1.Command_Claims:
		return s.applyClaims(nowUnixMs, body.Claims)
	case *apiv1.Command_Placement:
		return s.applyPlacement(nowUnixMs, body.Placement)
	case *apiv1.Command_Audit:
		return s.applyAudit(nowUnixMs, body.Audit)
	case *apiv1.Command_Jobs:
		return s.applyJobs(nowUnixMs, body.Jobs)
	default:
		return refuse(RefusalInvalid, "the command has no body that this version knows")
	}
}

func (s *Store) applyClaims(nowUnixMs int64, batch *apiv1.ClaimBatch) *apiv1.CommandResult {
	if s.claims == nil {
		return refuse(RefusalNoTable, "this process keeps no claims")
	}
	result := s.claims.Apply(nowUnixMs, batch)
	return &apiv1.CommandResult{Body: &apiv1.CommandResult_Claims{Claims: result}}
}

func (s *Store) applyPlacement(nowUnixMs int64, command *apiv1.PlacementCommand) *apiv1.CommandResult {
	if s.tasks == nil {
		return refuse(RefusalNoTable, "this process keeps no tasks")
	}
	result := s.tasks.Apply(nowUnixMs, command)
	return &apiv1.CommandResult{Body: &apiv1.CommandResult_Placement{Placement: result}}
}

func (s *Store) applyJobs(nowUnixMs int64, command *apiv1.JobsCommand) *apiv1.CommandResult {
	if s.jobs == nil {
		return refuse(RefusalNoTable, "this process keeps no callers' jobs")
	}
	result := s.jobs.Apply(nowUnixMs, command)
	return &apiv1.CommandResult{Body: &apiv1.CommandResult_Jobs{Jobs: result}}
}

func (s *Store) applyAudit(nowUnixMs int64, command *apiv1.AuditCommand) *apiv1.CommandResult {
	for _, record := range command.GetRecords() {
		s.audit.add(nowUnixMs, record)
	}
	return &apiv1.CommandResult{}
}

// NowUnixMs returns the replicated time in Unix milliseconds: the largest
// leader_unix_ms of the commands applied so far.
func (s *Store) NowUnixMs() int64 {
	return s.nowUnixMs.Load()
}

// AppliedIndex returns the log index of the last applied command.
func (s *Store) AppliedIndex() uint64 {
	return s.appliedIndex.Load()
}

// Revision returns the current revision of configuration and endpoints.
func (s *Store) Revision() uint64 {
	return s.revision.current()
}

// ChangedAfter returns a channel that is closed once the current revision is larger
// than the given one.
func (s *Store) ChangedAfter(revision uint64) <-chan struct{} {
	return s.revision.changedAfter(revision)
}

// Claims returns the claims table of Options, which may be nil.
func (s *Store) Claims() ClaimsTable {
	return s.claims
}

// Tasks returns the tasks table of Options, which may be nil.
func (s *Store) Tasks() TasksTable {
	return s.tasks
}
