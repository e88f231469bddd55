package failure_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/worker"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// taskRecorder records which tasks run where, on all workers together.
type taskRecorder struct {
	mu            sync.Mutex
	runningNow    map[string]int // running at this moment, by task
	maxConcurrent map[string]int // most at once, by task
	starts        map[string]int // by task
}

func newTaskRecorder() *taskRecorder {
	return &taskRecorder{runningNow: make(map[string]int), maxConcurrent: make(map[string]int), starts: make(map[string]int)}
}

func taskName(attempt *apiv1.Attempt) string {
	return fmt.Sprintf("%s/%s/%d", attempt.GetJob(), attempt.GetGeneration(), attempt.GetIndex())
}

func (r *taskRecorder) taskStarted(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[name]++
	r.runningNow[name]++
	r.maxConcurrent[name] = max(r.maxConcurrent[name], r.runningNow[name])
}

func (r *taskRecorder) taskEnded(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runningNow[name]--
}

// started returns how many tasks were started at least once.
func (r *taskRecorder) started() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.starts)
}

// running returns how many tasks run at this moment.
func (r *taskRecorder) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, count := range r.runningNow {
		total += count
	}
	return total
}

// expectNoDuplicates fails the test if a task ran in two places at once, or, if
// once is set, was started more than once.
func (r *taskRecorder) expectNoDuplicates(t testing.TB, once bool) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, most := range r.maxConcurrent {
		if most > 1 {
			t.Errorf("task %s ran in %d places at once", name, most)
		}
		if once && r.starts[name] > 1 {
			t.Errorf("non-idempotent task %s was started %d times", name, r.starts[name])
		}
	}
}

// testWorker is a fake worker that can be cut off and restarted.
type testWorker struct {
	cluster       *cluster
	name          string
	failureDomain string
	recorder      *taskRecorder
	duration      time.Duration // of each task; 0: until it is stopped
	client        *rpc.Client
	stop          context.CancelFunc
	done          chan struct{}
	startCount    atomic.Int64
}

// startWorkers starts workers that each hold the given number of tasks.
func startWorkers(c *cluster, run *taskRecorder, count int, duration time.Duration, client func(name string) *rpc.Client) []*testWorker {
	var workers []*testWorker
	for i := range count {
		w := &testWorker{
			cluster:       c,
			name:          fmt.Sprintf("worker-%d", i+1),
			failureDomain: fmt.Sprintf("domain-%d", i%3+1),
			recorder:      run,
			duration:      duration,
		}
		w.client = client(w.name)
		w.start()
		workers = append(workers, w)
	}
	c.t.Cleanup(func() {
		for _, w := range workers {
			w.kill()
			w.client.Close()
		}
	})
	return workers
}

// start begins a new boot of the worker.
func (w *testWorker) start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop, w.done = cancel, make(chan struct{})
	fake := worker.New(worker.Options{
		Name:     w.name,
		Location: &apiv1.Location{Region: "region-1", FailureDomain: w.failureDomain, Rack: w.name},
		Capacity: &apiv1.Resources{CpuMillis: 4000, MemoryBytes: 4 << 30},
		Platform: w.client.Platform(),
		Run:      w.runTask,
	})
	go func() {
		defer close(w.done)
		_ = fake.Run(ctx)
	}()
}

// kill ends the worker and, like the loss of its VM, all that runs there.
func (w *testWorker) kill() {
	w.stop()
	<-w.done
}

func (w *testWorker) runTask(ctx context.Context, attempt *apiv1.Attempt, _ string) error {
	name := taskName(attempt)
	w.recorder.taskStarted(name)
	defer w.recorder.taskEnded(name)
	w.startCount.Add(1)
	if w.duration == 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	timer := time.NewTimer(w.duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// directClient returns a client that reaches the control processes themselves.
func (c *cluster) directClient(string) *rpc.Client {
	return rpc.NewClient(rpc.Options{Addresses: c.addresses()})
}

func (c *cluster) addresses() []string {
	var all []string
	for _, m := range c.members {
		all = append(all, m.address)
	}
	return all
}

// relayedClient returns a client that reaches them over links that can be cut.
func (c *cluster) relayedClient(l *links, name string) *rpc.Client {
	dial := make(map[string]string)
	for _, m := range c.members {
		dial[m.address] = l.startRelay(name, m.name, m.address)
	}
	return rpc.NewClient(rpc.Options{Addresses: c.addresses(), DialOverrides: dial})
}

// batchConfiguration has one job of many tasks, each a quarter of a worker.
func batchConfiguration(kind apiv1.JobKind, count int32, nonIdempotent bool) *apiv1.Configuration {
	configuration := dispatchConfiguration()
	configuration.Jobs = []*apiv1.Job{{
		Name:          batchJob,
		Team:          "dispatch",
		Kind:          kind,
		Class:         apiv1.Class_CLASS_NORMAL,
		Resources:     &apiv1.Resources{CpuMillis: 1000, MemoryBytes: 1 << 30},
		Count:         count,
		NonIdempotent: nonIdempotent,
	}}
	return configuration
}

// batchJob names the job of the placement tests.
const batchJob = "refit"

// job returns the job's state as operators see it.
func (c *cluster) job() *apiv1.JobStatus {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	response, err := c.client.Control().GetJob(ctx, &apiv1.GetJobRequest{Name: batchJob})
	if err != nil {
		return nil
	}
	return response.GetJob()
}

func TestLeaderKilledAndFrozenWhileTasksStart(t *testing.T) {
	const tasks = 400
	is := is.New(t)
	c := newCluster(t, layout{voters: 3})
	run := newTaskRecorder()
	startWorkers(c, run, 6, 50*time.Millisecond, c.directClient)
	c.publish(batchConfiguration(apiv1.JobKind_JOB_KIND_BATCH, tasks, true))
	c.await("tasks to start", func() bool { return run.started() > tasks/10 })
	killed := c.leader()
	killed.kill()
	c.await("tasks to start again", func() bool { return run.started() > 4*tasks/10 })
	killed.start()
	frozen := c.leader()
	frozen.freeze()
	c.await("tasks to start again", func() bool { return run.started() > 7*tasks/10 })
	frozen.resume()
	c.await("every task to end", func() bool {
		job := c.job()
		return job.GetDone()+job.GetUnknown()+job.GetFailed() == tasks
	})
	run.expectNoDuplicates(t, true)
	is.Equal(c.job().GetFailed(), int32(0))
	is.Equal(c.job().GetUnknown(), int32(0)) // no worker was lost
}

func TestWorkerCutOffForLongerThanItsLease(t *testing.T) {
	links := newLinks(t)
	c := newCluster(t, layout{voters: 3})
	run := newTaskRecorder()
	workers := startWorkers(c, run, 4, 0, func(name string) *rpc.Client { return c.relayedClient(links, name) })
	const tasks = 12 // three workers hold them all
	c.publish(batchConfiguration(apiv1.JobKind_JOB_KIND_SERVICE, tasks, false))
	c.await("every task to run", func() bool { return run.running() == tasks })
	links.blackhole(workers[0].name)
	c.await("the worker to be given up and its tasks to run elsewhere", func() bool {
		job := c.job()
		return !c.worker(workers[0].name).GetAlive() && job.GetRunning() == tasks && run.running() == tasks
	})
	run.expectNoDuplicates(t, false)
	links.restore(workers[0].name)
	c.await("the worker to be back", func() bool { return c.worker(workers[0].name).GetAlive() })
	c.await("every task to run", func() bool { return run.running() == tasks })
	run.expectNoDuplicates(t, false)
}

func TestRestartedWorkerNeverRunsARefitAgain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, layout{voters: 3})
	run := newTaskRecorder()
	workers := startWorkers(c, run, 3, 0, c.directClient)
	const tasks = 6
	c.publish(batchConfiguration(apiv1.JobKind_JOB_KIND_BATCH, tasks, true))
	c.await("every task to run", func() bool { return run.running() == tasks })
	restarted := workers[slices.IndexFunc(workers, func(w *testWorker) bool { return w.startCount.Load() > 0 })]
	lost := int32(restarted.startCount.Load())
	before := c.worker(restarted.name).GetWorker().GetBoot()
	restarted.kill()
	restarted.start()
	c.await("the lost tasks to be shown as unknown", func() bool { return c.job().GetUnknown() == lost })
	// Until its lease has run out, the old boot could still be given tasks, and
	// these would be lost with it.
	c.await("the new boot to be known", func() bool {
		status := c.worker(restarted.name)
		return status.GetAlive() && status.GetWorker().GetBoot() != before
	})
	run.expectNoDuplicates(t, true)
	is.Equal(c.job().GetRunning(), tasks-lost)

	// The operator decides: a new generation runs the unknown tasks again, and
	// leaves alone what still runs.
	again := batchConfiguration(apiv1.JobKind_JOB_KIND_BATCH, tasks, true)
	again.Jobs[0].Generation = "2"
	c.publish(again)
	c.await("the unknown tasks to run again", func() bool {
		job := c.job()
		return job.GetRunning() == tasks && job.GetUnknown() == 0 && run.started() == int(tasks+lost)
	})
	run.expectNoDuplicates(t, true)
}

// worker returns what control knows of a worker; nil: nothing.
func (c *cluster) worker(name string) *apiv1.WorkerStatus {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	response, err := c.client.Control().ListWorkers(ctx, &apiv1.ListWorkersRequest{})
	if err != nil {
		return nil
	}
	for _, status := range response.GetWorkers() {
		if status.GetWorker().GetName() == name {
			return status
		}
	}
	return nil
}
