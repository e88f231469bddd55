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

var errCut = errors.New("no majority")

// world is a replicated table, workers, and the leaders that follow each other.
type world struct {
	t     testing.TB
	table *jobs.Table
	times Timing

	mu        sync.Mutex
	workers   map[string]*fakeWorker
	commitCut bool
	term      uint64
	advised   []string        // steps asked about
	denied    map[string]bool // workers that the policy does not allow
	// Of the others, each step may use this many in a hundred, drawn by its name;
	// 0: all. An answer takes adviceTakes.
	allowedPercent uint32
	adviceTakes    time.Duration
}

func newWorld(t testing.TB, workers ...*fakeWorker) *world {
	w := &world{
		t: t, table: jobs.New(), workers: make(map[string]*fakeWorker),
		times: Timing{MaxLease: 1200 * time.Millisecond, JobStatusRetention: time.Minute},
	}
	for _, one := range workers {
		w.workers[one.record.GetId()] = one
		w.table.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{one.record}})
	}
	return w
}

// lead begins a new term. The returned function ends it.
func (w *world) lead() (*Dispatcher, func()) {
	w.mu.Lock()
	w.term++
	term := w.term
	w.mu.Unlock()
	d := New(context.Background(), Config{
		Log: worldLog{w}, Table: w.table, WorkerClient: worldDriver{w}, Advisor: worldAdvisor{w},
		Clock: clock.System{}, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(), Timing: w.times,
	}, term)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := d.Run(); err != nil {
			w.t.Error(err)
		}
	}()
	stop := sync.OnceFunc(func() {
		d.Stop()
		<-done
	})
	w.t.Cleanup(stop)
	w.eventually("the leader has taken over", d.Ready)
	return d, stop
}

func (w *world) eventually(what string, holds func() bool) {
	w.t.Helper()
	const patience = 10 * time.Second
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.t.Fatalf("not seen within %v: %s", patience, what)
}

func (w *world) submit(id string, steps ...*apiv1.JobStep) {
	w.submitAt(testQueue(), id, steps...)
}

func (w *world) submitAt(queue *apiv1.Queue, id string, steps ...*apiv1.JobStep) {
	w.table.Apply(0, &apiv1.JobsCommand{Accept: []*apiv1.CallerJob{{
		Id: id, Queue: queue, Spec: &apiv1.JobSpec{Payload: []byte("p"), Steps: steps},
		AcceptedUnixMs: time.Now().UnixMilli(),
	}}})
}

func testQueue() *apiv1.Queue {
	return &apiv1.Queue{Name: "q", Service: testService, MaxAttempts: 2, SlackFactor: 2, LatencyTargetMs: 1000}
}

func (w *world) state(id string) apiv1.JobState {
	state, _ := w.table.State(id)
	return state
}

func (w *world) cutCommits(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commitCut = cut
}

func (w *world) worker(record *apiv1.PoolWorker) *fakeWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[record.GetAddress()]
}

type worldLog struct{ *world }

func (l worldLog) Propose(_ context.Context, command *apiv1.Command) (*apiv1.CommandResult, error) {
	l.mu.Lock()
	cut := l.commitCut
	l.mu.Unlock()
	if cut {
		return nil, errCut
	}
	result := l.table.Apply(command.GetLeaderUnixMs(), command.GetJobs())
	return &apiv1.CommandResult{Body: &apiv1.CommandResult_Jobs{Jobs: result}}, nil
}

func (l worldLog) Barrier(context.Context) error { return nil }

type worldDriver struct{ *world }

func (d worldDriver) Start(_ context.Context, worker *apiv1.PoolWorker, order StartRequest) (Response, error) {
	return d.worker(worker).start(order)
}

func (d worldDriver) Stop(_ context.Context, worker *apiv1.PoolWorker, order StopRequest) (Response, error) {
	return d.worker(worker).stop(order)
}

func (d worldDriver) Hold(ctx context.Context, worker *apiv1.PoolWorker, order HoldRequest) (HoldResponse, error) {
	return d.worker(worker).hold(ctx, order)
}

type worldAdvisor struct{ *world }

func (a worldAdvisor) Advise(_ context.Context, _, step string, workers []string) (*apiv1.AdviseResponse, error) {
	time.Sleep(a.adviceTakes)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advised = append(a.advised, step)
	response := &apiv1.AdviseResponse{}
	for _, id := range workers {
		if a.denied[id] || (a.allowedPercent > 0 && crc32.ChecksumIEEE([]byte(step+id))%100 >= a.allowedPercent) {
			continue
		}
		response.Tickets = append(response.Tickets, &apiv1.Ticket{Worker: id, Ticket: "t-" + id})
	}
	return response, nil
}

func tasks(count int32, cpu int64) *apiv1.JobStep {
	return &apiv1.JobStep{Count: count, CpuMillis: cpu, EstimateMs: 50}
}
