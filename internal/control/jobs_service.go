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

// jobsService serves entries: callers' jobs.
type jobsService struct {
	*Server
}

var _ apiv1.Jobs = jobsService{}

// jobIDLength is the number of hexadecimal digits of a job's id.
const jobIDLength = 16

// Submit accepts a job. Its answer is sent once the acceptance is committed; a
// job that comes again is the same job.
func (s jobsService) Submit(ctx context.Context, request *apiv1.SubmitJobRequest) (*apiv1.SubmitJobResponse, error) {
	l, err := s.dispatching()
	if err != nil {
		return nil, err
	}
	queue, id, err := s.route(ctx, l, request.GetHost(), request.GetPath())
	if err != nil {
		return nil, err
	}
	switch {
	case queue == nil || !isJobID(id):
		return &apiv1.SubmitJobResponse{NoRoute: true}, nil
	case request.GetInvalid() != "":
		return &apiv1.SubmitJobResponse{Invalid: true, Reason: request.GetInvalid()}, nil
	case tooLarge(s.table().Catalog(), request.GetBodyBytes()):
		return &apiv1.SubmitJobResponse{Invalid: true, Reason: "the body is too large"}, nil
	}
	if _, known := s.table().State(id); known {
		return &apiv1.SubmitJobResponse{}, nil
	}
	accepted := &apiv1.CallerJob{
		Id: id, Queue: queue, Spec: request.GetSpec(), AcceptedUnixMs: s.Clock.Read().Time().UnixMilli(),
	}
	result, err := s.proposeJobs(ctx, &apiv1.JobsCommand{Accept: []*apiv1.CallerJob{accepted}})
	if err != nil {
		return nil, err
	}
	if result.GetAccepted()[0] {
		s.Logger.Info("job accepted", "job", id, "queue", queue.GetName(), "catalog", result.GetCatalogVersion(),
			"steps", len(accepted.GetSpec().GetSteps()), "repeats", accepted.GetSpec().GetRepeatCount())
	}
	return &apiv1.SubmitJobResponse{}, nil
}

func tooLarge(catalog *jobs.Catalog, bytes int64) bool {
	return catalog.MaxBodyBytes() > 0 && bytes > catalog.MaxBodyBytes()
}

// Read tells a job's state, or how many jobs of a queue wait.
func (s jobsService) Read(ctx context.Context, request *apiv1.ReadJobRequest) (*apiv1.ReadJobResponse, error) {
	l, err := s.dispatching()
	if err != nil {
		return nil, err
	}
	if err := l.confirm(ctx); err != nil {
		return nil, err
	}
	queue, rest := s.table().Catalog().Route(request.GetHost(), request.GetPath())
	if queue != nil && rest == "" {
		return &apiv1.ReadJobResponse{IsQueue: true, Pending: s.table().Pending(queue.GetName())}, nil
	}
	if queue == nil || !isJobID(rest) {
		return &apiv1.ReadJobResponse{NoRoute: true}, nil
	}
	state, known := s.table().State(rest)
	return &apiv1.ReadJobResponse{State: state, Unknown: !known}, nil
}

// Cancel cancels a job. Its answer is sent once the cancellation is committed.
func (s jobsService) Cancel(ctx context.Context, request *apiv1.CancelJobRequest) (*apiv1.CancelJobResponse, error) {
	l, err := s.dispatching()
	if err != nil {
		return nil, err
	}
	queue, id, err := s.route(ctx, l, request.GetHost(), request.GetPath())
	if err != nil {
		return nil, err
	}
	if queue == nil || !isJobID(id) {
		return &apiv1.CancelJobResponse{NoRoute: true}, nil
	}
	result, err := s.proposeJobs(ctx, &apiv1.JobsCommand{Cancel: []string{id}})
	if err != nil {
		return nil, err
	}
	known := result.GetCancelled()[0]
	s.Logger.Info("job cancelled", "job", id, "queue", queue.GetName(), "known", known)
	return &apiv1.CancelJobResponse{Unknown: !known}, nil
}

// Join notes a process that is there, and tells it of the control processes.
func (s jobsService) Join(ctx context.Context, request *apiv1.JoinRequest) (*apiv1.JoinResponse, error) {
	l, err := s.dispatching()
	if err != nil {
		return nil, err
	}
	if request.GetControl() {
		s.candidates.offer(Peer{
			Name: request.GetName(), Address: request.GetAddress(), FailureDomain: request.GetFailureDomain(),
		}, time.Now())
	} else {
		l.dispatch.EntryJoined(request.GetAddress())
	}
	membership := s.Log.Status().Membership
	response := &apiv1.JoinResponse{}
	for _, infos := range [][]*apiv1.MemberInfo{membership.GetVoters(), membership.GetLearners()} {
		for _, info := range infos {
			response.ControlAddresses = append(response.ControlAddresses, info.GetAddress())
		}
	}
	return response, nil
}

// route finds the queue of a path. That there is none is said only after the
// leadership has been confirmed, so that the catalog is the newest.
func (s *Server) route(ctx context.Context, l *leadership, host, path string) (*apiv1.Queue, string, error) {
	queue, id := s.table().Catalog().Route(host, path)
	if queue != nil && isJobID(id) {
		return queue, id, nil
	}
	if err := l.confirm(ctx); err != nil {
		return nil, "", err
	}
	if s.table().Catalog().Version() == 0 {
		return nil, "", twirp.NewError(twirp.FailedPrecondition, "nothing has been published yet")
	}
	queue, id = s.table().Catalog().Route(host, path)
	return queue, id, nil
}

func isJobID(text string) bool {
	if len(text) != jobIDLength {
		return false
	}
	for _, r := range text {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') && (r < 'A' || r > 'F') {
			return false
		}
	}
	return true
}

func (s *Server) table() *jobs.Table { return s.Dispatch.Table }

// dispatching returns the leadership once it has taken over the jobs.
func (s *Server) dispatching() (*leadership, error) {
	l, err := s.leading()
	if err != nil {
		return nil, err
	}
	if l.dispatch == nil || !l.dispatch.Ready() {
		return nil, s.notLeader()
	}
	return l, nil
}

// proposeJobs commits a change of the jobs. An error other than that this
// process does not lead means that it may still take effect.
func (s *Server) proposeJobs(ctx context.Context, command *apiv1.JobsCommand) (*apiv1.JobsResult, error) {
	result, err := s.Log.Propose(ctx, &apiv1.Command{
		LeaderUnixMs: s.Clock.Read().Time().UnixMilli(),
		Body:         &apiv1.Command_Jobs{Jobs: command},
	})
	if errors.Is(err, replica.ErrNotLeader) {
		return nil, s.notLeader()
	}
	if err != nil {
		s.Logger.Warn("a change of the jobs may or may not be committed", "error", err)
		return nil, rpc.Unclear(s.Log.Status().LeaderAddr)
	}
	if result.GetJobs() == nil {
		return nil, twirp.InternalError(result.GetRefusal())
	}
	return result.GetJobs(), nil
}

// runDispatch runs the dispatcher for the leadership's term.
func (l *leadership) runDispatch() error {
	err := l.dispatch.Run()
	if err != nil && l.ctx.Err() == nil && !errors.Is(err, replica.ErrNotLeader) {
		l.server.Logger.Error("the dispatcher ended", "term", l.term, "error", err)
	}
	return nil
}

// ErrNotLeader says that this process can't serve a call that needs the leader.
var ErrNotLeader = errors.New("this process does not lead")

// PublishCatalog puts a catalog in force unless one that is not older is. It
// returns once that is committed.
func (s *Server) PublishCatalog(ctx context.Context, catalog *apiv1.Catalog) error {
	if _, err := s.dispatching(); err != nil {
		return errors.Mark(err, ErrNotLeader)
	}
	before := s.table().Catalog().Version()
	result, err := s.proposeJobs(ctx, &apiv1.JobsCommand{Catalog: catalog})
	if err != nil {
		return errors.Mark(err, ErrNotLeader)
	}
	s.Logger.Info("catalog published", "sent_version", catalog.GetVersion(), "version_before", before,
		"version_in_force", result.GetCatalogVersion(), "queues", len(catalog.GetQueues()))
	return nil
}

// PublishedCatalog returns the newest catalog as it was sent; nil if there is
// none.
func (s *Server) PublishedCatalog(ctx context.Context) ([]byte, error) {
	l, err := s.dispatching()
	if err != nil {
		return nil, errors.Mark(err, ErrNotLeader)
	}
	if err := l.confirm(ctx); err != nil {
		return nil, errors.Mark(err, ErrNotLeader)
	}
	return s.table().Catalog().Document(), nil
}

// ReportWorker takes in what a worker told of itself. It returns once no task
// will be started on a worker that drains.
func (s *Server) ReportWorker(ctx context.Context, record *apiv1.PoolWorker) error {
	l, err := s.dispatching()
	if err != nil {
		return errors.Mark(err, ErrNotLeader)
	}
	present := s.table().Worker(record.GetId())
	if present == nil || dispatch.RecordChanged(present, record) {
		if _, err := s.proposeJobs(ctx, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{record}}); err != nil {
			return errors.Mark(err, ErrNotLeader)
		}
		present = s.table().Worker(record.GetId())
	}
	if present.GetBornUnixMs() == record.GetBornUnixMs() {
		l.dispatch.WorkerReported(present)
	}
	return nil
}

// WithdrawWorker notes that a worker says it leaves for good.
func (s *Server) WithdrawWorker(ctx context.Context, id string) error {
	l, err := s.dispatching()
	if err != nil {
		return errors.Mark(err, ErrNotLeader)
	}
	present := s.table().Worker(id)
	if present == nil || present.GetGone() {
		return nil
	}
	gone := apiv1.PoolWorker{
		Id: present.GetId(), BornUnixMs: present.GetBornUnixMs(), Service: present.GetService(),
		Address: present.GetAddress(), FailureDomain: present.GetFailureDomain(), Labels: present.GetLabels(),
		CpuMillis: present.GetCpuMillis(), MemoryMb: present.GetMemoryMb(), Accelerators: present.GetAccelerators(),
		Machine: present.GetMachine(), Draining: true, Gone: true,
	}
	if _, err := s.proposeJobs(ctx, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{&gone}}); err != nil {
		return errors.Mark(err, ErrNotLeader)
	}
	l.dispatch.WorkerReported(&gone)
	return nil
}

// Leader returns the internal address of the leader, as far as known, and
// whether this process leads.
func (s *Server) Leader() (address string, own bool) {
	status := s.Log.Status()
	return status.LeaderAddr, status.IsLeader
}
