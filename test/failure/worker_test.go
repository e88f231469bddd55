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

// taskRecorder counts the runs of each task on all workers together.
type taskRecorder struct {
	mu            sync.Mutex
	runningNow    map[string]int // current runs, by task
	maxConcurrent map[string]int // maximum of runningNow so far, by task
	starts        map[string]int // by task
}

func newTaskRecorder() *taskRecorder {
	return &taskRecorder{runningNow: make(map[string]int), maxConcurrent: make(map[string]int), starts: make(map[string]int)}
}

// taskName returns the name of an attempt's task: job, generation and index.
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

// started returns the number of tasks that were started at least once.
func (r *taskRecorder) started() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.starts)
}

// running returns the current number of runs.
func (r *taskRecorder) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, count := range r.runningNow {
		total += count
	}
	return total
}

// expectNoDuplicates fails the test if two runs of a task overlapped or, with
// nonIdempotent, if a task was started more than once.
func (r *taskRecorder) expectNoDuplicates(t testing.TB, nonIdempotent bool) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, maxConcurrent := range r.maxConcurrent {
		if maxConcurrent > 1 {
			t.Errorf("task %s had %d concurrent runs", name, maxConcurrent)
		}
		if nonIdempotent && r.starts[name] > 1 {
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
	duration      time.Duration // of each task; 0: until the task is stopped
	client        *rpc.Client
	stop          context.CancelFunc
	done          chan struct{}
	startCount    atomic.Int64
}

// startWorkers starts count workers, whose tasks each run for the given duration.
func startWorkers(c *cluster, recorder *taskRecorder, count int, duration time.Duration, client func(name string) *rpc.Client) []*testWorker {
	var workers []*testWorker
	for i := range count {
		w := &testWorker{
			cluster:       c,
			name:          fmt.Sprintf("worker-%d", i+1),
			failureDomain: fmt.Sprintf("domain-%d", i%3+1),
			recorder:      recorder,
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

// start starts a new incarnation of the worker.
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

// kill stops the worker and all its tasks, as if its VM were lost.
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

// directClient returns a client that dials the control processes directly.
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

// relayedClient returns a client that dials the control processes through relays of
// l, under the given process name.
func (c *cluster) relayedClient(l *links, name string) *rpc.Client {
	dial := make(map[string]string)
	for _, m := range c.members {
		dial[m.address] = l.startRelay(name, m.name, m.address)
	}
	return rpc.NewClient(rpc.Options{Addresses: c.addresses(), DialOverrides: dial})
}

// batchConfiguration returns a configuration with one job of count tasks, each of
// which takes a quarter of a worker's capacity.
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

// batchJob is the name of the job of the placement tests.
const batchJob = "refit"

// job returns the status of batchJob; nil on an error.
func (c *cluster) job() *apiv1.JobStatus {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	response, err := c.client.Control().GetJob(ctx, &apiv1.GetJobRequest{Name: batchJob})
	if err != nil {
		return nil
	}
	return response.GetJob()
}

// Changes of leader while tasks start must not start a non-idempotent task twice, nor
// lose one.
func TestLeaderKilledAndFrozenWhileTasksStart(t *testing.T) {
	const tasks = 400
	is := is.New(t)
	c := newCluster(t, layout{voters: 3})
	recorder := newTaskRecorder()
	startWorkers(c, recorder, 6, 50*time.Millisecond, c.directClient)
	c.publish(batchConfiguration(apiv1.JobKind_JOB_KIND_BATCH, tasks, true))
	c.await("tasks to start", func() bool { return recorder.started() > tasks/10 })
	killed := c.leader()
	killed.kill()
	c.await("tasks to start again", func() bool { return recorder.started() > 4*tasks/10 })
	killed.start()
	frozen := c.leader()
	frozen.freeze()
	c.await("tasks to start again", func() bool { return recorder.started() > 7*tasks/10 })
	frozen.resume()
	c.await("every task to end", func() bool {
		job := c.job()
		return job.GetDone()+job.GetUnknown()+job.GetFailed() == tasks
	})
	recorder.expectNoDuplicates(t, true)
	is.Equal(c.job().GetFailed(), int32(0))
	is.Equal(c.job().GetUnknown(), int32(0)) // no worker was lost
}

// A worker that can't renew must stop its tasks before they are started elsewhere, so
// that no two runs of a task overlap.
func TestWorkerCutOffForLongerThanItsLease(t *testing.T) {
	links := newLinks(t)
	c := newCluster(t, layout{voters: 3})
	recorder := newTaskRecorder()
	workers := startWorkers(c, recorder, 4, 0, func(name string) *rpc.Client { return c.relayedClient(links, name) })
	const tasks = 12 // three of the four workers have the capacity for all
	c.publish(batchConfiguration(apiv1.JobKind_JOB_KIND_SERVICE, tasks, false))
	c.await("every task to run", func() bool { return recorder.running() == tasks })
	links.blackhole(workers[0].name)
	c.await("the worker to be declared lost and its tasks to run elsewhere", func() bool {
		job := c.job()
		return !c.worker(workers[0].name).GetAlive() && job.GetRunning() == tasks && recorder.running() == tasks
	})
	recorder.expectNoDuplicates(t, false)
	links.restore(workers[0].name)
	c.await("the worker to be alive again", func() bool { return c.worker(workers[0].name).GetAlive() })
	c.await("every task to run", func() bool { return recorder.running() == tasks })
	recorder.expectNoDuplicates(t, false)
}

// A restarted worker must not run the non-idempotent tasks of its previous
// incarnation again; they are shown as unknown until an operator decides.
func TestRestartedWorkerNeverRerunsNonIdempotentTasks(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, layout{voters: 3})
	recorder := newTaskRecorder()
	workers := startWorkers(c, recorder, 3, 0, c.directClient)
	const tasks = 6
	c.publish(batchConfiguration(apiv1.JobKind_JOB_KIND_BATCH, tasks, true))
	c.await("every task to run", func() bool { return recorder.running() == tasks })
	restarted := workers[slices.IndexFunc(workers, func(w *testWorker) bool { return w.startCount.Load() > 0 })]
	lost := int32(restarted.startCount.Load())
	before := c.worker(restarted.name).GetWorker().GetBoot()
	restarted.kill()
	restarted.start()
	c.await("the lost tasks to be shown as unknown", func() bool { return c.job().GetUnknown() == lost })
	// Until its lease has expired, the old incarnation could still be given tasks,
	// which would be lost with it.
	c.await("the new boot to be known", func() bool {
		status := c.worker(restarted.name)
		return status.GetAlive() && status.GetWorker().GetBoot() != before
	})
	recorder.expectNoDuplicates(t, true)
	is.Equal(c.job().GetRunning(), tasks-lost)

	// The operator publishes a new generation: it runs the unknown tasks again and
	// doesn't affect those still running.
	again := batchConfiguration(apiv1.JobKind_JOB_KIND_BATCH, tasks, true)
	again.Jobs[0].Generation = "2"
	c.publish(again)
	c.await("the unknown tasks to run again", func() bool {
		job := c.job()
		return job.GetRunning() == tasks && job.GetUnknown() == 0 && recorder.started() == int(tasks+lost)
	})
	recorder.expectNoDuplicates(t, true)
}

// worker returns the status of a worker; nil if it is not known or on an error.
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
