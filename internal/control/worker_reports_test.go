package control_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control"
	"github.com/pistachioport/pistachioport/internal/dispatch"
	"github.com/pistachioport/pistachioport/internal/replica"
)

// silentWorkers is a dispatch.WorkerClient of workers that don't answer.
type silentWorkers struct{}

func (silentWorkers) Start(context.Context, *apiv1.PoolWorker, dispatch.StartRequest) (dispatch.Response, error) {
	return dispatch.Response{}, context.DeadlineExceeded
}

func (silentWorkers) Stop(context.Context, *apiv1.PoolWorker, dispatch.StopRequest) (dispatch.Response, error) {
	return dispatch.Response{}, context.DeadlineExceeded
}

func (silentWorkers) Hold(context.Context, *apiv1.PoolWorker, dispatch.HoldRequest) (dispatch.HoldResponse, error) {
	return dispatch.HoldResponse{}, context.DeadlineExceeded
}

// newDispatchRig starts a server that dispatches jobs when it leads.
func newDispatchRig(t *testing.T) *rig {
	r := newRig(t, func(config *control.Config) {
		config.Dispatch = &dispatch.Config{
			Log: config.Log, WorkerClient: silentWorkers{}, Clock: config.Clock,
			Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
			Timing: dispatch.Timing{MaxLease: 10 * time.Second, JobStatusRetention: time.Minute},
		}
	})
	r.server.Dispatch.Table = r.jobs
	return r
}

// leadDispatch makes the server the leader and waits until its dispatcher takes calls.
func (r *rig) leadDispatch() {
	r.becomeLeader()
	r.eventually("the dispatcher has taken over", func() bool {
		return r.server.PublishCatalog(r.t.Context(), &apiv1.Catalog{Version: 1}) == nil
	})
}

// follow makes the server a follower of the leader at the other rig.
func (r *rig) follow(leader *rig) {
	r.log.becomeFollower()
	r.log.update(func() { r.log.status.LeaderAddr = strings.TrimPrefix(leader.url, "http://") })
}

// reportedWorkers returns the number of worker records in each command so far.
func (f *fakeLog) reportedWorkers() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var counts []int
	for _, command := range f.commands {
		if n := len(command.GetJobs().GetWorkers()); n > 0 {
			counts = append(counts, n)
		}
	}
	return counts
}

func readyWorker(number int) *apiv1.PoolWorker {
	return &apiv1.PoolWorker{Id: fmt.Sprintf("w%d", number), BornUnixMs: 1, Service: "s", Address: "127.0.0.1:1", CpuMillis: 1000}
}

// TestWorkersThatStartTogetherShareCommits reports many workers at once to a process that
// follows the leader.
func TestWorkersThatStartTogetherShareCommits(t *testing.T) {
	is := is.New(t)
	const workers, maxCommits = 200, 20
	leader, follower := newDispatchRig(t), newDispatchRig(t)
	leader.leadDispatch()
	follower.follow(leader)
	var group errgroup.Group
	for i := range workers {
		group.Go(func() error { return follower.server.ReportWorker(t.Context(), readyWorker(i)) })
	}
	is.NoErr(group.Wait())
	is.Equal(len(leader.jobs.Workers()), workers)
	is.True(len(leader.log.reportedWorkers()) <= maxCommits)
}

func TestUnchangedReportEndsAtAnyProcessThatFollowsALeader(t *testing.T) {
	is := is.New(t)
	follower := newDispatchRig(t)
	follower.jobs.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{readyWorker(1)}})
	is.True(errors.Is(follower.server.ReportWorker(t.Context(), readyWorker(1)), control.ErrNotLeader)) // knows no leader
	follower.log.becomeFollower()
	is.NoErr(follower.server.ReportWorker(t.Context(), readyWorker(1))) // nothing listens at the leader's address
}

func TestDrainingIsAcknowledgedOnlyOnceItIsCommitted(t *testing.T) {
	is := is.New(t)
	leader, follower := newDispatchRig(t), newDispatchRig(t)
	leader.leadDispatch()
	follower.follow(leader)
	is.NoErr(follower.server.ReportWorker(t.Context(), readyWorker(1)))
	follower.jobs.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{readyWorker(1)}}) // replicated
	draining := readyWorker(1)
	draining.Draining = true
	leader.log.failProposals(errors.New("no majority"))
	is.True(errors.Is(follower.server.ReportWorker(t.Context(), draining), control.ErrNotLeader))
	leader.log.failProposals(nil)
	is.NoErr(follower.server.ReportWorker(t.Context(), draining))
	is.True(leader.jobs.Worker("w1").GetDraining())
	is.NoErr(follower.server.ReportWorker(t.Context(), readyWorker(1))) // an earlier report, late
	is.True(leader.jobs.Worker("w1").GetDraining())
}

// Reports wait for the call in flight, so that call ends with the leadership of a process
// that doesn't answer.
func TestReportsReachANewLeaderWhileTheFormerHangs(t *testing.T) {
	is := is.New(t)
	const maxDelay = 400 * time.Millisecond // half of what a call may take
	called := make(chan struct{})
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body) // until then the server doesn't notice that the caller gave up
		close(called)
		<-request.Context().Done()
	}))
	t.Cleanup(hanging.Close)
	leader, follower := newDispatchRig(t), newDispatchRig(t)
	leader.leadDispatch()
	follower.log.becomeFollower()
	follower.log.update(func() { follower.log.status.LeaderAddr = hanging.Listener.Addr().String() })
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { first <- follower.server.ReportWorker(t.Context(), readyWorker(1)) }()
	<-called
	go func() { second <- follower.server.ReportWorker(t.Context(), readyWorker(2)) }()
	begin := time.Now()
	follower.follow(leader)
	is.NoErr(<-second)
	is.True(time.Since(begin) < maxDelay)
	is.True(errors.Is(<-first, control.ErrNotLeader))
}

// reportOf returns a report of worker 1 with a sequence and a capacity.
func reportOf(sequence, cpuMillis int64) *apiv1.PoolWorker {
	report := readyWorker(1)
	report.Sequence, report.CpuMillis = sequence, cpuMillis
	return report
}

// A delayed report that arrived at a process whose copy of the table is behind the leader's
// replaced the worker's later report.
func TestOlderReportAtAProcessThatIsBehind(t *testing.T) {
	is := is.New(t)
	leader, follower := newDispatchRig(t), newDispatchRig(t)
	leader.leadDispatch()
	follower.follow(leader)
	is.NoErr(leader.server.ReportWorker(t.Context(), reportOf(2, 1000)))
	is.NoErr(follower.server.ReportWorker(t.Context(), reportOf(1, 4000)))
	is.Equal(leader.jobs.Worker("w1").GetCpuMillis(), int64(1000))
	is.Equal(len(leader.log.reportedWorkers()), 1)
}

// An older report that says that the worker drains is true for the rest of the incarnation.
func TestOlderReportThatTheWorkerDrainsIsRecorded(t *testing.T) {
	is := is.New(t)
	leader := newDispatchRig(t)
	leader.leadDispatch()
	is.NoErr(leader.server.ReportWorker(t.Context(), reportOf(3, 1000)))
	draining := reportOf(2, 4000)
	draining.Draining = true
	is.NoErr(leader.server.ReportWorker(t.Context(), draining))
	is.True(leader.jobs.Worker("w1").GetDraining())
	is.Equal(leader.jobs.Worker("w1").GetCpuMillis(), int64(1000))
}

func TestReportThatChangesOnlyItsSequenceIsNotCommitted(t *testing.T) {
	is := is.New(t)
	leader, follower := newDispatchRig(t), newDispatchRig(t)
	leader.leadDispatch()
	follower.follow(leader)
	for sequence := range int64(20) {
		reporter := leader
		if sequence%2 == 1 {
			reporter = follower
		}
		is.NoErr(reporter.server.ReportWorker(t.Context(), reportOf(sequence, 1000)))
	}
	is.Equal(len(leader.log.reportedWorkers()), 1)
	is.NoErr(leader.server.ReportWorker(t.Context(), reportOf(20, 500)))
	is.NoErr(leader.server.ReportWorker(t.Context(), reportOf(21, 1000)))
	is.Equal(len(leader.log.reportedWorkers()), 3)
	is.Equal(leader.jobs.Worker("w1").GetSequence(), int64(21))
}

// A lost worker is removed from the table, and with it the sequence of its last report. An
// older one that was delayed until then added it again with an earlier capacity.
func TestOlderReportOfAWorkerThatWasRemoved(t *testing.T) {
	is := is.New(t)
	leader, follower := newDispatchRig(t), newDispatchRig(t)
	leader.leadDispatch()
	follower.follow(leader)
	is.NoErr(follower.server.ReportWorker(t.Context(), reportOf(2, 1000)))
	leader.jobs.Apply(0, &apiv1.JobsCommand{ForgetWorkers: []*apiv1.WorkerLife{{Id: "w1", BornUnixMs: 1}}})
	is.NoErr(follower.server.ReportWorker(t.Context(), reportOf(1, 4000)))
	is.NoErr(leader.server.ReportWorker(t.Context(), reportOf(1, 4000))) // the leader has got the later one, too
	is.Equal(leader.jobs.Worker("w1"), nil)
	is.NoErr(leader.server.ReportWorker(t.Context(), reportOf(3, 1000)))
	is.Equal(leader.jobs.Worker("w1").GetCpuMillis(), int64(1000))
}

// A later report that changed nothing is in no record. An older one that arrived after it
// changed the capacity until the worker's next report.
func TestOlderReportAfterOneThatChangedNothing(t *testing.T) {
	is := is.New(t)
	leader := newDispatchRig(t)
	leader.leadDispatch()
	for _, report := range []*apiv1.PoolWorker{reportOf(1, 1000), reportOf(3, 1000), reportOf(2, 4000)} {
		is.NoErr(leader.server.ReportWorker(t.Context(), report))
	}
	is.Equal(leader.jobs.Worker("w1").GetCpuMillis(), int64(1000))
	restarted := reportOf(1, 4000) // its sequence begins anew
	restarted.BornUnixMs = 2
	is.NoErr(leader.server.ReportWorker(t.Context(), restarted))
	is.Equal(leader.jobs.Worker("w1").GetCpuMillis(), int64(4000))
}

// Below the number of workers from which reports are sent elsewhere, and at followers, workers stay where they are.
func TestWorkersStayUnlessTheLeaderOfALargeDeploymentSendsThemAway(t *testing.T) {
	is := is.New(t)
	var large atomic.Bool
	r := newRig(t, func(config *control.Config) { config.IsLarge = large.Load })
	others := &apiv1.Membership{Voters: []*apiv1.MemberInfo{{Incarnation: 1, Address: "10.0.0.1:7000"}, {Incarnation: 2, Address: "10.0.0.2:7000"}}}
	r.log.update(func() { r.log.status.Membership, r.log.status.Progress = others, map[uint64]replica.Progress{2: {}} })
	sentAway := func() (count int) {
		for i := range 100 {
			if r.server.ReportRoute(fmt.Sprintf("w%d", i)) == "10.0.0.2:7000" {
				count++
			}
		}
		return count
	}
	r.becomeLeader()
	is.Equal(sentAway(), 0)
	large.Store(true)
	is.True(sentAway() > 0)
	r.log.becomeFollower()
	r.eventually("the leadership has ended", func() bool { return sentAway() == 0 })
}

// reachableWorkers is a dispatch.WorkerClient of workers without runs that answer polls at once.
type reachableWorkers struct {
	silentWorkers
	clockMs atomic.Int64 // reading of the workers' clocks
	polls   atomic.Int64 // answered
}

func (w *reachableWorkers) Hold(ctx context.Context, _ *apiv1.PoolWorker, _ dispatch.HoldRequest) (dispatch.HoldResponse, error) {
	if w.polls.Add(1) > 1 {
		time.Sleep(10 * time.Millisecond)
	}
	return dispatch.HoldResponse{ClockMs: w.clockMs.Load(), BornUnixMs: 1}, ctx.Err()
}

// A worker shrinks, grows and shrinks again. Its report of the time between arrives at the leader, late, while
// the later ones arrive at another process, where they change nothing.
func TestLateReportDoesNotRestoreACapacityThatHasShrunk(t *testing.T) {
	is := is.New(t)
	leader, follower := newDispatchRig(t), newDispatchRig(t)
	workers := &reachableWorkers{}
	leader.server.Dispatch.WorkerClient = workers
	leader.leadDispatch()
	follower.follow(leader)
	report := func(to *rig, sequence, clockMs, cpu int64) {
		worker := readyWorker(1)
		worker.Sequence, worker.ClockMs, worker.CpuMillis = sequence, clockMs, cpu
		is.NoErr(to.server.ReportWorker(t.Context(), worker))
		if to == leader {
			follower.jobs.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{leader.jobs.Worker("w1")}})
		}
	}
	pollAt := func(clockMs int64) { // until an answer with the reading was handled
		workers.clockMs.Store(clockMs)
		polls := workers.polls.Load()
		leader.eventually("the worker is polled", func() bool { return workers.polls.Load() > polls+2 })
	}
	report(leader, 1, 1000, 4000)
	report(leader, 2, 2000, 1000)
	report(follower, 4, 4000, 1000)
	pollAt(5000)
	report(leader, 3, 3000, 4000)
	is.Equal(leader.jobs.Worker("w1").GetCpuMillis(), int64(1000))
	report(leader, 5, 5000, 4000)
	is.Equal(leader.jobs.Worker("w1").GetCpuMillis(), int64(4000))
}

// A withdrawal that a cut had held up marked the worker's next incarnation as gone for the rest of its life.
func TestWithdrawalOfAFormerIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	r := newDispatchRig(t)
	r.leadDispatch()
	worker := func(born int64, draining bool) *apiv1.PoolWorker {
		w := readyWorker(1)
		w.BornUnixMs, w.Draining = born, draining
		return w
	}
	is.NoErr(r.server.ReportWorker(t.Context(), worker(1, false)))
	is.NoErr(r.server.ReportWorker(t.Context(), worker(1, true)))
	is.NoErr(r.server.ReportWorker(t.Context(), worker(2, false)))
	is.NoErr(r.server.WithdrawWorker(t.Context(), "w1")) // of the first incarnation
	is.True(!r.jobs.Worker("w1").GetGone())
	is.True(!r.jobs.Worker("w1").GetDraining())
	is.NoErr(r.server.ReportWorker(t.Context(), worker(2, true)))
	is.NoErr(r.server.WithdrawWorker(t.Context(), "w1"))
	is.True(r.jobs.Worker("w1").GetGone())
}

// An entry of another writer with a worker's id, a later birth and a service that no catalog names took the place of
// the worker, whose tasks were started elsewhere while they ran.
func TestReportOfAnUnknownServiceDoesNotReplaceAWorker(t *testing.T) {
	is := is.New(t)
	leader, follower := newDispatchRig(t), newDispatchRig(t)
	leader.leadDispatch()
	follower.follow(leader)
	publish := func(version uint64, services ...string) {
		catalog := &apiv1.Catalog{Version: version}
		for _, name := range services {
			catalog.Services = append(catalog.Services, &apiv1.WorkerService{Name: name})
		}
		is.NoErr(leader.server.PublishCatalog(t.Context(), catalog))
	}
	report := func(to *rig, born int64, service string) {
		worker := readyWorker(1)
		worker.BornUnixMs, worker.Service = born, service
		is.NoErr(to.server.ReportWorker(t.Context(), worker))
	}
	publish(2, "s")
	report(leader, 1, "s")
	report(leader, 2, "other")
	report(follower, 2, "other") // which knows neither the worker nor the catalog
	is.Equal(leader.jobs.Worker("w1").GetBornUnixMs(), int64(1))
	publish(3, "s", "other") // the worker may have begun anew with another service
	report(leader, 2, "other")
	is.Equal(leader.jobs.Worker("w1").GetService(), "other")
	publish(4) // no services: nothing tells which report is the worker's
	report(leader, 3, "s")
	is.Equal(leader.jobs.Worker("w1").GetBornUnixMs(), int64(3))
}
