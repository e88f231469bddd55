package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// ReportWorker records a worker's report about itself. If the worker drains, no task
// is started on it after ReportWorker has returned. Its errors are marked as
// ErrNotLeader, unless too many reports wait.
//
// Any process that follows a leader takes reports, so that they spread over all control
// processes: most change nothing and end here. A process that no longer hears from a
// leader takes none, since the worker might be unknown to the next one.
func (s *Server) ReportWorker(ctx context.Context, record *apiv1.PoolWorker) error {
	status := s.Log.Status()
	if status.LeaderAddr == "" {
		return errors.Mark(s.notLeader(), ErrNotLeader)
	}
	if !s.reportChanges(record) {
		return nil
	}
	err := s.reports.record(ctx, record)
	if errors.Is(err, errReportsPending) {
		return err
	}
	return errors.Mark(err, ErrNotLeader)
}

// reportChanges reports whether a report that arrived now changes the worker's record.
func (s *Server) reportChanges(record *apiv1.PoolWorker) bool {
	current := s.jobsTable().Worker(record.GetId())
	return !s.isOfUnknownService(current, record) && s.reportOrder.Changes(current, record, time.Now())
}

// isOfUnknownService reports whether a report under a worker's id names a service that the catalog doesn't, while it names
// the worker's. The worker it tells of can't be used, and taking its place would end the other's runs.
// A worker that begins anew with a service of a later catalog is recorded with its next report after that.
func (s *Server) isOfUnknownService(current, reported *apiv1.PoolWorker) bool {
	catalog := s.jobsTable().Catalog()
	return current != nil && current.GetService() != reported.GetService() &&
		catalog.Service(current.GetService()) != nil && catalog.Service(reported.GetService()) == nil
}

// WithdrawWorker records that a worker has left permanently. Its errors are marked
// as ErrNotLeader.
//
// A withdrawal names no incarnation. A worker drains before it withdraws, so one that arrives while the newest
// incarnation does not drain is of a former one, and late; it is ignored.
func (s *Server) WithdrawWorker(ctx context.Context, id string) error {
	if _, err := s.dispatchLeadership(); err != nil {
		return errors.Mark(err, ErrNotLeader)
	}
	existing := s.jobsTable().Worker(id)
	if existing == nil || existing.GetGone() {
		return nil
	}
	if !existing.GetDraining() {
		s.Logger.Info("withdrawal ignored", "worker", id, "born", existing.GetBornUnixMs(), "draining", false)
		return nil
	}
	gone := apiv1.PoolWorker{
		Id: existing.GetId(), BornUnixMs: existing.GetBornUnixMs(), Service: existing.GetService(),
		Address: existing.GetAddress(), FailureDomain: existing.GetFailureDomain(), Labels: existing.GetLabels(),
		CpuMillis: existing.GetCpuMillis(), MemoryMb: existing.GetMemoryMb(), Accelerators: existing.GetAccelerators(),
		Machine: existing.GetMachine(), Draining: true, Gone: true, Sequence: existing.GetSequence(),
	}
	return errors.Mark(s.reports.record(ctx, &gone), ErrNotLeader)
}

// ReportWorkers records the reports that another control process has received.
func (s jobsService) ReportWorkers(ctx context.Context, request *apiv1.ReportWorkersRequest) (*apiv1.ReportWorkersResponse, error) {
	if err := s.commitReports(ctx, request.GetWorkers()); err != nil {
		return nil, err
	}
	return &apiv1.ReportWorkersResponse{}, nil
}

// commitReports commits the reports that change anything. It fails unless this process
// leads.
func (s *Server) commitReports(ctx context.Context, records []*apiv1.PoolWorker) error {
	l, err := s.dispatchLeadership()
	if err != nil {
		return err
	}
	command := &apiv1.JobsCommand{}
	for _, record := range records {
		if l.dispatch.IsOutdated(s.jobsTable().Worker(record.GetId()), record) {
			continue
		}
		if s.reportChanges(record) {
			command.Workers = append(command.Workers, record)
		}
	}
	if len(command.GetWorkers()) == 0 {
		return nil
	}
	_, err = s.proposeJobs(ctx, command)
	return err
}

// sendReports commits the reports if this process leads, and otherwise passes them to
// the leader.
func (s *Server) sendReports(ctx context.Context, records []*apiv1.PoolWorker) error {
	status := s.Log.Status()
	if status.IsLeader {
		return s.commitReports(ctx, records)
	}
	if status.LeaderAddr == "" {
		return s.notLeader()
	}
	ctx, cancel := s.whileLeaderIs(ctx, status.LeaderAddr)
	defer cancel()
	_, err := s.peers.jobs(status.LeaderAddr).ReportWorkers(ctx, &apiv1.ReportWorkersRequest{Workers: records})
	if err != nil {
		s.peers.closeReportConnections()
		s.Logger.Warn("workers' reports not recorded", "workers", len(records), "leader", status.LeaderAddr, "error", err)
		return rpc.NotLeader("")
	}
	return nil
}

// whileLeaderIs returns a context that also ends when the leader is no longer known under
// the address. The caller must cancel it.
func (s *Server) whileLeaderIs(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for {
			changed := s.Log.Changed()
			if s.Log.Status().LeaderAddr != address {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}
