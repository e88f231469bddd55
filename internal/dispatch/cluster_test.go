package dispatch

import (
	"context"
	"hash/crc32"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/state/jobs"
)

const testService = "planning"

var errNoQuorum = errors.New("no quorum")

// testCluster is a replicated table and fake workers, for a sequence of leaders.
type testCluster struct {
	t      testing.TB
	table  *jobs.Table
	timing Timing
	logger *slog.Logger // of leaders that start later
	// callLimits are those of leaders that start later.
	callLimits   CallLimits
	overage      float64             // QuotaOverage of leaders that start later
	admitsByLoad bool                // of leaders that start later
	large        bool                // Config.IsLarge of leaders that start later
	firstPolls   *concurrencyCounter // of polls of workers that have answered none; nil: not counted
	links        *leaderLinks
	clockOf      func(term uint64) clock.Clock // of leaders that start later

	mu            sync.Mutex
	workers       map[string]*fakeWorker
	noQuorum      bool                        // proposals fail
	commitTime    time.Duration               // how long proposals take
	steps         map[string][]*apiv1.JobStep // of submitted jobs, by id
	term          uint64
	adviceCalls   []string        // names of the steps asked about
	deniedWorkers map[string]bool // workers that the policy does not allow
	// allowedPercent is the percentage of the other workers that each step may use,
	// chosen by a hash of its name; 0: all. Each answer takes adviceDelay.
	allowedPercent uint32
	adviceDelay    time.Duration
}

func newTestCluster(t testing.TB, workers ...*fakeWorker) *testCluster {
	c := &testCluster{
		t: t, table: jobs.New(), workers: make(map[string]*fakeWorker), steps: make(map[string][]*apiv1.JobStep),
		timing: Timing{MaxLease: 1200 * time.Millisecond, JobStatusRetention: time.Minute},
		logger: slog.New(slog.DiscardHandler),
		links:  newLeaderLinks(), clockOf: func(uint64) clock.Clock { return clock.System{} },
	}
	for _, one := range workers {
		c.workers[one.record.GetId()] = one
		c.table.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{one.record}})
	}
	return c
}

// startLeader starts the dispatcher of a new term. The returned function ends it.
func (c *testCluster) startLeader() (*Dispatcher, func()) {
	c.mu.Lock()
	c.term++
	term := c.term
	c.mu.Unlock()
	d := New(context.Background(), Config{
		Log: clusterLog{c, term}, Table: c.table, WorkerClient: clusterWorkerClient{c, term}, Advisor: clusterAdvisor{c},
		Clock: c.clockOf(term), Logger: c.logger, Metrics: metrics.NewRegistry(), Timing: c.timing,
		CallLimits: c.callLimits, QuotaOverage: c.overage, AdmitsByLoad: c.admitsByLoad,
		IsLarge: func() bool { return c.large },
	}, term)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := d.Run(); err != nil {
			c.t.Error(err)
		}
	}()
	stop := sync.OnceFunc(func() {
		d.Stop()
		<-done
	})
	c.t.Cleanup(stop)
	c.eventually("the leader has taken over", d.Ready)
	return d, stop
}

// eventually waits until the condition holds and fails the test after 10 s.
func (c *testCluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	c.within(10*time.Second, description, condition)
}

// within waits until the condition holds and fails the test after maxWait.
func (c *testCluster) within(maxWait time.Duration, description string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("condition not met within %v: %s", maxWait, description)
}

// submit is submitTo with testQueue.
func (c *testCluster) submit(id string, steps ...*apiv1.JobStep) {
	c.submitTo(testQueue(), id, steps...)
}

// submitTo applies the acceptance of a job of the queue to the table.
func (c *testCluster) submitTo(queue *apiv1.Queue, id string, steps ...*apiv1.JobStep) {
	c.mu.Lock()
	c.steps[id] = steps
	c.mu.Unlock()
	c.table.Apply(0, &apiv1.JobsCommand{Accept: []*apiv1.CallerJob{{
		Id: id, Queue: queue, Spec: &apiv1.JobSpec{Payload: []byte("p"), Steps: steps},
		AcceptedUnixMs: time.Now().UnixMilli(),
	}}})
}

func testQueue() *apiv1.Queue {
	return &apiv1.Queue{Name: "q", Service: testService, MaxAttempts: 2, SlackFactor: 2, LatencyTargetMs: 1000}
}

func (c *testCluster) state(id string) apiv1.JobState {
	state, _ := c.table.State(id)
	return state
}

// setNoQuorum makes proposals fail from now on, or succeed again.
func (c *testCluster) setNoQuorum(proposalsFail bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noQuorum = proposalsFail
}

func (c *testCluster) worker(record *apiv1.PoolWorker) *fakeWorker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[record.GetAddress()]
}

// clusterLog implements Log without replication.
type clusterLog struct {
	*testCluster
	term uint64 // of the leader that uses it
}

func (l clusterLog) Propose(_ context.Context, command *apiv1.Command) (*apiv1.CommandResult, error) {
	if !l.links.reachesQuorum(l.term) {
		return nil, errNoQuorum
	}
	l.mu.Lock()
	proposalsFail, commitTime := l.noQuorum, l.commitTime
	l.mu.Unlock()
	time.Sleep(commitTime)
	if proposalsFail {
		return nil, errNoQuorum
	}
	result := l.table.Apply(command.GetLeaderUnixMs(), command.GetJobs())
	return &apiv1.CommandResult{Body: &apiv1.CommandResult_Jobs{Jobs: result}}, nil
}

func (l clusterLog) Barrier(context.Context) error {
	if !l.links.reachesQuorum(l.term) {
		return errNoQuorum
	}
	return nil
}

// clusterWorkerClient implements WorkerClient with the fake workers.
type clusterWorkerClient struct {
	*testCluster
	term uint64 // of the leader that uses it
}

func (d clusterWorkerClient) Start(ctx context.Context, worker *apiv1.PoolWorker, req StartRequest) (Response, error) {
	return callOverLink(ctx, d, worker, func() (Response, error) { return d.worker(worker).start(req) })
}

func (d clusterWorkerClient) Stop(ctx context.Context, worker *apiv1.PoolWorker, req StopRequest) (Response, error) {
	return callOverLink(ctx, d, worker, func() (Response, error) { return d.worker(worker).stop(req) })
}

func (d clusterWorkerClient) Hold(ctx context.Context, worker *apiv1.PoolWorker, req HoldRequest) (HoldResponse, error) {
	if d.firstPolls != nil && d.worker(worker).holdCount() == 0 {
		d.firstPolls.begin()
		defer d.firstPolls.end()
	}
	return callOverLink(ctx, d, worker, func() (HoldResponse, error) { return d.worker(worker).hold(ctx, req) })
}

// clusterAdvisor implements Advisor with the policy of the cluster's fields.
type clusterAdvisor struct{ *testCluster }

func (a clusterAdvisor) Advise(_ context.Context, _, step string, workers []string) (*apiv1.AdviseResponse, error) {
	time.Sleep(a.adviceDelay)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.adviceCalls = append(a.adviceCalls, step)
	resp := &apiv1.AdviseResponse{}
	for _, id := range workers {
		if a.deniedWorkers[id] || (a.allowedPercent > 0 && crc32.ChecksumIEEE([]byte(step+id))%100 >= a.allowedPercent) {
			continue
		}
		resp.Tickets = append(resp.Tickets, &apiv1.Ticket{Worker: id, Ticket: "t-" + id})
	}
	return resp, nil
}

// stepOf returns a step of tasks that each need cpu thousandths of a core.
func stepOf(count int32, cpu int64) *apiv1.JobStep {
	return &apiv1.JobStep{Count: count, CpuMillis: cpu, EstimateMs: 50}
}
