package control

import (
	"context"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// ListAudit returns records of the audit trail, oldest first.
func (s controlService) ListAudit(ctx context.Context, request *apiv1.ListAuditRequest) (*apiv1.ListAuditResponse, error) {
	if _, err := s.confirmedLeadership(ctx); err != nil {
		return nil, err
	}
	records := s.Store.AuditRecords(request.GetSinceUnixMs(), request.GetObject(), int(request.GetLimit()))
	return &apiv1.ListAuditResponse{Records: records}, nil
}

// ListEntries returns the entry sessions that may hold a lease.
func (s controlService) ListEntries(ctx context.Context, _ *apiv1.ListEntriesRequest) (*apiv1.ListEntriesResponse, error) {
	l, err := s.confirmedLeadership(ctx)
	if err != nil {
		return nil, err
	}
	response := &apiv1.ListEntriesResponse{}
	for _, session := range l.sessions.list() {
		response.Entries = append(response.Entries, &apiv1.EntryStatus{
			Name:        session.name,
			Session:     session.id,
			Location:    session.location,
			Address:     session.address,
			Revision:    session.knownRevision,
			LeaseLeftMs: l.entryLeases.Remaining(session.id).Milliseconds(),
			Draining:    session.draining,
		})
	}
	return response, nil
}

// ListEndpoints returns the announced endpoints of one service or of all.
func (s controlService) ListEndpoints(
	ctx context.Context, request *apiv1.ListEndpointsRequest,
) (*apiv1.ListEndpointsResponse, error) {
	if _, err := s.confirmedLeadership(ctx); err != nil {
		return nil, err
	}
	return &apiv1.ListEndpointsResponse{Endpoints: s.Store.Endpoints(request.GetService())}, nil
}

// ListWorkers returns the registered workers.
func (s controlService) ListWorkers(ctx context.Context, _ *apiv1.ListWorkersRequest) (*apiv1.ListWorkersResponse, error) {
	if _, err := s.confirmedLeadership(ctx); err != nil {
		return nil, err
	}
	tasks := s.Store.Tasks()
	if tasks == nil {
		return &apiv1.ListWorkersResponse{}, nil
	}
	return &apiv1.ListWorkersResponse{Workers: tasks.Workers()}, nil
}

// ListJobs returns a summary of every job.
func (s controlService) ListJobs(ctx context.Context, _ *apiv1.ListJobsRequest) (*apiv1.ListJobsResponse, error) {
	if _, err := s.confirmedLeadership(ctx); err != nil {
		return nil, err
	}
	tasks := s.Store.Tasks()
	if tasks == nil {
		return &apiv1.ListJobsResponse{}, nil
	}
	return &apiv1.ListJobsResponse{Jobs: tasks.Jobs()}, nil
}

// GetJob returns one job, its tasks and the reasons why they wait.
func (s controlService) GetJob(ctx context.Context, request *apiv1.GetJobRequest) (*apiv1.GetJobResponse, error) {
	if _, err := s.confirmedLeadership(ctx); err != nil {
		return nil, err
	}
	name := request.GetName()
	tasks := s.Store.Tasks()
	if tasks == nil {
		return nil, unknownJob(name)
	}
	job, statuses, ok := tasks.Job(name)
	if !ok {
		return nil, unknownJob(name)
	}
	response := &apiv1.GetJobResponse{Job: job, Tasks: statuses}
	if s.Placement != nil {
		response.Waits = s.Placement.WaitReasons(name)
	}
	return response, nil
}

func unknownJob(name string) error {
	return twirp.NewErrorf(twirp.NotFound, "job %q does not exist", name)
}
