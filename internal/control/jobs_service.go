package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/dispatch"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/rpc"
	"github.com/pistachioport/pistachioport/internal/state/jobs"
)

// jobsService serves the entries' calls about callers' jobs.
type jobsService struct {
	*Server
}

var _ apiv1.Jobs = jobsService{}

// Submit accepts a job and returns once the acceptance is committed. It is
// idempotent: a known job id is answered as accepted again.
func (s jobsService) Submit(ctx context.Context, request *apiv1.SubmitJobRequest) (*apiv1.SubmitJobResponse, error) {
	l, err := s.dispatchLeadership()
	if err != nil {
		return nil, err
	}
	access, answer, err := decide(ctx, l, request, func(a callerAccess) *apiv1.SubmitJobResponse {
		return s.answerSubmission(a, request)
	})
	if err != nil || answer != nil {
		return answer, err
	}
	accepted := &apiv1.CallerJob{
		Id: access.rest, Queue: access.queue, Spec: request.GetSpec(), AcceptedUnixMs: s.Clock.Read().Time().UnixMilli(),
		Workspace: access.workspace,
	}
	admission := s.submissions.begin(accepted.GetId(), request.GetCall(), time.Now(),
		func() dispatch.Admission { return l.dispatch.Admit(accepted) })
	if admission.Refused {
		return s.refuseJob(ctx, l, request, accepted, admission)
	}
	defer s.submissions.end(accepted.GetId())
	accepted.OverRate = admission.OverRate
	command := &apiv1.JobsCommand{Accept: []*apiv1.CallerJob{accepted}}
	if access.workspace != "" {
		command.AcceptKeys = [][]byte{request.GetKeyDigest()}
	}
	result, err := s.proposeJobs(ctx, command)
	if err != nil {
		return nil, err
	}
	if result.GetAccepted()[0] {
		s.Logger.Info("job accepted", "job", accepted.GetId(), "queue", access.queue.GetName(), "workspace", access.workspace,
			"catalog", result.GetCatalogVersion(), "steps", len(accepted.GetSpec().GetSteps()), "repeats", accepted.GetSpec().GetRepeatCount())
	}
	if access.keysRequired && !result.GetAccepted()[0] {
		return s.resubmit(ctx, request)
	}
	return &apiv1.SubmitJobResponse{}, nil
}

// answerSubmission returns the answer to a submission, or nil if the job is to be
// accepted.
func (s jobsService) answerSubmission(a callerAccess, request *apiv1.SubmitJobRequest) *apiv1.SubmitJobResponse {
	switch {
	case a.unauthenticated:
		return &apiv1.SubmitJobResponse{Unauthenticated: true}
	case !a.namesJob():
		return &apiv1.SubmitJobResponse{NoRoute: true}
	case request.GetInvalid() != "":
		return &apiv1.SubmitJobResponse{Invalid: true, Reason: request.GetInvalid()}
	case bodyTooLarge(a.catalog, request.GetBodyBytes()):
		return &apiv1.SubmitJobResponse{Invalid: true, Reason: "the body is too large"}
	}
	if _, known := s.jobsTable().State(a.rest); !known {
		return nil
	}
	if !s.mayUseJob(a) {
		return &apiv1.SubmitJobResponse{Invalid: true, Reason: "the id is that of another job"}
	}
	return &apiv1.SubmitJobResponse{}
}

// resubmit answers a submission with a key whose job was not accepted when its command
// was committed: the job is known by now, or the catalog has changed since the check of
// the key.
func (s jobsService) resubmit(ctx context.Context, request *apiv1.SubmitJobRequest) (*apiv1.SubmitJobResponse, error) {
	current := s.accessOf(request)
	if answer := s.answerSubmission(current, request); answer != nil {
		s.logForeignJob(current)
		return answer, nil
	}
	return s.Submit(ctx, request) // the key belongs to another workspace now
}

// refuseJob answers that the job never runs, unless it was accepted by an earlier leader: all
// that was committed before is applied here once the leadership is confirmed.
func (s jobsService) refuseJob(
	ctx context.Context, l *leadership, request *apiv1.SubmitJobRequest, submitted *apiv1.CallerJob, admission dispatch.Admission,
) (*apiv1.SubmitJobResponse, error) {
	if err := l.confirm(ctx); err != nil {
		return nil, err
	}
	if current := s.accessOf(request); current.keysRequired {
		if answer := s.answerSubmission(current, request); answer != nil {
			s.logForeignJob(current)
			return answer, nil
		}
	} else if _, known := s.jobsTable().State(submitted.GetId()); known {
		return &apiv1.SubmitJobResponse{}, nil
	}
	s.Logger.Info("job refused", "job", submitted.GetId(), "queue", submitted.GetQueue().GetName(),
		"reason", admission.Reason, "workspace", submitted.GetWorkspace(), "over_rate", admission.OverRate,
		"expected_wait_ms", admission.ExpectedWait.Milliseconds(), "retry_after_ms", admission.RetryAfter.Milliseconds())
	return refusalResponse(admission), nil
}

// refusalResponse returns the response to a job that is not accepted and never runs. A job beyond
// its rate is refused as well, for entries that don't know rate_limited.
func refusalResponse(admission dispatch.Admission) *apiv1.SubmitJobResponse {
	return &apiv1.SubmitJobResponse{
		Refused: true, RateLimited: admission.Reason == dispatch.RefusedRate, Reason: refusalTexts[admission.Reason],
		RetryAfterMs: admission.RetryAfter.Milliseconds(),
	}
}

// refusalTexts holds the reasons for refusals as callers read them.
var refusalTexts = map[dispatch.RefusalReason]string{
	dispatch.RefusedTrial: "tasks of this queue crash workers; too many jobs wait for a trial",
	dispatch.RefusedRate:  "more jobs than the workspace's rate, while others wait",
	dispatch.RefusedLate:  "so much work waits that the job would be done too late to have a value",
}

func bodyTooLarge(catalog *jobs.Catalog, bytes int64) bool {
	return catalog.MaxBodyBytes() > 0 && bytes > catalog.MaxBodyBytes()
}

// Read returns a job's state, or the number of pending jobs of a queue if the path
// names no job.
func (s jobsService) Read(ctx context.Context, request *apiv1.ReadJobRequest) (*apiv1.ReadJobResponse, error) {
	l, err := s.dispatchLeadership()
	if err != nil {
		return nil, err
	}
	if err := l.confirm(ctx); err != nil {
		return nil, err
	}
	a := s.accessOf(request)
	switch {
	case a.unauthenticated:
		return &apiv1.ReadJobResponse{Unauthenticated: true}, nil
	case a.queue != nil && a.rest == "":
		return &apiv1.ReadJobResponse{IsQueue: true, Pending: s.jobsTable().Pending(a.queue.GetName())}, nil
	case !a.namesJob():
		return &apiv1.ReadJobResponse{NoRoute: true}, nil
	}
	state, known := s.jobsTable().State(a.rest)
	if !s.mayUseJob(a) {
		s.logForeignJob(a)
		return &apiv1.ReadJobResponse{Unknown: true}, nil
	}
	return &apiv1.ReadJobResponse{State: state, Unknown: !known}, nil
}

// Cancel cancels a job and returns once the cancellation is committed.
func (s jobsService) Cancel(ctx context.Context, request *apiv1.CancelJobRequest) (*apiv1.CancelJobResponse, error) {
	l, err := s.dispatchLeadership()
	if err != nil {
		return nil, err
	}
	access, answer, err := decide(ctx, l, request, s.answerCancellation)
	if err != nil || answer != nil {
		return answer, err
	}
	result, err := s.proposeJobs(ctx, &apiv1.JobsCommand{Cancel: []string{access.rest}})
	if err != nil {
		return nil, err
	}
	known := result.GetCancelled()[0]
	s.Logger.Info("job cancelled", "job", access.rest, "queue", access.queue.GetName(), "known", known)
	if access.keysRequired && result.GetCatalogVersion() != access.catalog.Version() { // the key may have been removed
		if answer := s.answerCancellation(s.accessOf(request)); answer != nil {
			return answer, nil
		}
	}
	return &apiv1.CancelJobResponse{Unknown: !known}, nil
}

// answerCancellation returns the answer to a cancellation, or nil if it is to be
// committed.
func (s jobsService) answerCancellation(a callerAccess) *apiv1.CancelJobResponse {
	switch {
	case a.unauthenticated:
		return &apiv1.CancelJobResponse{Unauthenticated: true}
	case !a.namesJob():
		return &apiv1.CancelJobResponse{NoRoute: true}
	case !s.mayUseJob(a):
		return &apiv1.CancelJobResponse{Unknown: true}
	}
	return nil
}

// Join registers a control process as a spare, or an entry with the dispatcher, and
// returns the addresses of the control processes that are members, and the limit of
// callers' bodies.
func (s jobsService) Join(ctx context.Context, request *apiv1.JoinRequest) (*apiv1.JoinResponse, error) {
	if request.GetControl() {
		// A lost voter is replaced also before the dispatcher has taken over.
		if _, err := s.currentLeadership(); err != nil {
			return nil, err
		}
		s.spares.register(Peer{
			Name: request.GetName(), Address: request.GetAddress(), FailureDomain: request.GetFailureDomain(),
		}, time.Now())
	} else {
		l, err := s.dispatchLeadership()
		if err != nil {
			return nil, err
		}
		l.dispatch.EntryJoined(request.GetAddress())
	}
	membership := s.Log.Status().Membership
	response := &apiv1.JoinResponse{MaxBodyBytes: s.jobsTable().Catalog().MaxBodyBytes()}
	for _, infos := range [][]*apiv1.MemberInfo{membership.GetVoters(), membership.GetLearners()} {
		for _, info := range infos {
			response.ControlAddresses = append(response.ControlAddresses, info.GetAddress())
		}
	}
	return response, nil
}

// ListWorkspaces returns the usage of all workspaces.
func (s jobsService) ListWorkspaces(ctx context.Context, _ *apiv1.ListWorkspacesRequest) (*apiv1.ListWorkspacesResponse, error) {
	l, err := s.dispatchLeadership()
	if err != nil {
		return nil, err
	}
	if err := l.confirm(ctx); err != nil {
		return nil, err
	}
	return &apiv1.ListWorkspacesResponse{Workspaces: l.dispatch.WorkspaceUsages()}, nil
}

func (s *Server) jobsTable() *jobs.Table { return s.Dispatch.Table }

// dispatchLeadership returns the current leadership if its dispatcher has taken over
// the jobs, or else the error to answer with.
func (s *Server) dispatchLeadership() (*leadership, error) {
	l, err := s.currentLeadership()
	if err != nil {
		return nil, err
	}
	if l.dispatch == nil || !l.dispatch.Ready() {
		return nil, s.notLeader()
	}
	return l, nil
}

// proposeJobs commits a change of the jobs. After any error but the one that this
// process does not lead, the change may still take effect.
func (s *Server) proposeJobs(ctx context.Context, command *apiv1.JobsCommand) (*apiv1.JobsResult, error) {
	result, err := s.Log.Propose(ctx, &apiv1.Command{
		LeaderUnixMs: s.Clock.Read().Time().UnixMilli(),
		Body:         &apiv1.Command_Jobs{Jobs: command},
	})
	if errors.Is(err, replica.ErrNotLeader) {
		return nil, s.notLeader()
	}
	if err != nil {
		s.Logger.Warn("outcome of a jobs command is unknown", "error", err)
		return nil, rpc.LeadershipLost(s.Log.Status().LeaderAddr)
	}
	if result.GetJobs() == nil {
		return nil, twirp.InternalError(result.GetRefusal())
	}
	return result.GetJobs(), nil
}

// runDispatch runs the dispatcher until the leadership ends.
func (l *leadership) runDispatch() error {
	err := l.dispatch.Run()
	if err != nil && l.ctx.Err() == nil && !errors.Is(err, replica.ErrNotLeader) {
		l.server.Logger.Error("dispatcher failed", "term", l.term, "error", err)
	}
	return nil
}

// ErrNotLeader marks the error of a call that only the leader can serve.
var ErrNotLeader = errors.New("this process does not lead")

// Leader returns the internal address of the leader, empty if it is unknown, and
// whether this process leads.
func (s *Server) Leader() (address string, own bool) {
	status := s.Log.Status()
	return status.LeaderAddr, status.IsLeader
}
