package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
)

// recordingClient remembers the last poll that was sent to each worker.
type recordingClient struct {
	clusterWorkerClient

	mu        sync.Mutex
	lastHolds map[string]HoldRequest // by worker id
}

func (r *recordingClient) Hold(ctx context.Context, worker *apiv1.PoolWorker, req HoldRequest) (HoldResponse, error) {
	r.mu.Lock()
	r.lastHolds[worker.GetId()] = req
	r.mu.Unlock()
	return r.clusterWorkerClient.Hold(ctx, worker, req)
}

func (r *recordingClient) lastHold(id string) HoldRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastHolds[id]
}

// startRecordingLeader is startLeader with a recordingClient.
func (c *testCluster) startRecordingLeader() (*Dispatcher, *recordingClient) {
	client := &recordingClient{clusterWorkerClient: clusterWorkerClient{testCluster: c}, lastHolds: make(map[string]HoldRequest)}
	c.mu.Lock()
	c.term++
	term := c.term
	c.mu.Unlock()
	d := New(context.Background(), Config{
		Log: clusterLog{testCluster: c}, Table: c.table, WorkerClient: client, Advisor: clusterAdvisor{c},
		Clock: clock.System{}, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(), Timing: c.timing,
		CallLimits: c.callLimits,
	}, term)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := d.Run(); err != nil {
			c.t.Error(err)
		}
	}()
	c.t.Cleanup(func() {
		d.Stop()
		<-ended
	})
	c.eventually("the leader has taken over", d.Ready)
	return d, client
}

// waitUntilSettled waits until the leader has a complete list of the worker's current incarnation and
// has nothing left to stop there.
func (c *testCluster) waitUntilSettled(d *Dispatcher, w *fakeWorker) {
	c.t.Helper()
	p := d.pool(testService)
	c.eventually("the leader knows the incarnation", func() bool {
		born := w.currentRecord().GetBornUnixMs()
		p.mu.Lock()
		defer p.mu.Unlock()
		known := p.workers[w.record.GetId()]
		return known != nil && known.record.GetBornUnixMs() == born && known.synced && known.stored == nil &&
			known.predecessor == nil && !hasStoppingRun(known)
	})
}

// oldWorkers returns workers whose first incarnations are an hour old.
func oldWorkers(lease time.Duration, ids ...string) []*fakeWorker {
	var workers []*fakeWorker
	for _, id := range ids {
		w := newFakeWorker(id, 1000)
		w.createdAt, w.maxLease = time.Now().Add(-time.Hour), lease
		workers = append(workers, w)
	}
	return workers
}

// A worker takes the deadline also from a start that it rejects, and it applies to everything that runs
// there. A late start, whose deadline was on the clock of the former incarnation, gave all runs of the
// next one the longest lease, though that rejected it. They were started elsewhere too early.
func TestRejectedLateStartProlongsTheLeaseOfTheNextIncarnation(t *testing.T) {
	is := is.New(t)
	const maxLease = 4 * time.Second
	workers := oldWorkers(maxLease, "w1", "w2")
	c := newTestCluster(t, workers...)
	c.timing.MaxLease = maxLease
	d, _ := c.startLeader()
	lost := make(chan *fakeWorker, len(workers))
	for _, w := range workers {
		w.withLock(func() {
			w.startsToLose, w.lostError = 1, ErrConnectionLost
			w.onLost = func() {
				for _, other := range workers {
					if other != w {
						go other.withLock(func() { other.startsToLose = 0 })
					}
				}
				w.crashLocked()
				w.restartLocked()
				lost <- w
			}
		})
	}
	c.submit("fenced", stepOf(1, 1000))
	reborn := <-lost
	replacedBy := time.Now()
	c.report(reborn)
	c.waitUntilSettled(d, reborn)
	c.submit("other", stepOf(1, 1000))
	c.eventually("both tasks run", func() bool { return countRunning(workers) == 2 })
	spare := newFakeWorker("w3", 1000)
	c.mu.Lock()
	c.workers["w3"] = spare
	c.mu.Unlock()
	c.report(spare)
	time.Sleep(time.Until(replacedBy.Add(maxLease + 500*time.Millisecond)))
	is.Equal(countRunning(workers), 2)
	reborn.withLock(func() {
		is.Equal(len(reborn.lostStarts), 1)
		late := reborn.lostStarts[0]
		reborn.lostStarts = nil
		is.Equal(reborn.startLocked(late).Refusal, RefusedSuperseded)
		reborn.extendLease(late.Deadline)
		reborn.silent = true
	})
	most := 0
	c.within(maxStartDelay+2*maxLease, "the lost task runs elsewhere", func() bool {
		most = max(most, countRunning(append(workers, spare)))
		return spare.startCount() == 1
	})
	for end := time.Now().Add(maxLease); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		most = max(most, countRunning(append(workers, spare)))
	}
	is.Equal(most, 2) // two tasks
}

// The next incarnation of a worker executed a start under the longest lease, and then the leader
// changed. The new leader counts leases of the former one as if they were ordinary ones.
func TestTakeoverWaitsOutTheLongestLeaseOfTheNextIncarnation(t *testing.T) {
	const maxLease = 7 * time.Second
	for _, test := range []struct {
		name    string
		answers bool // the worker answers the new leader once before it is silent
	}{{"never answers", false}, {"answers once", true}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			workers := oldWorkers(maxLease, "w1", "w2")
			c := newTestCluster(t, workers...)
			c.timing.MaxLease = maxLease
			_, stop := c.startLeader()
			for _, w := range workers {
				w.withLock(func() {
					w.onReceipt = func() {
						w.crashLocked()
						w.restartLocked()
						w.record.BornUnixMs = time.Now().UnixMilli()
					}
				})
			}
			c.submit("job", stepOf(1, 1000))
			c.eventually("the task runs", func() bool { return countRunning(workers) == 1 })
			reborn := workers[0]
			if len(workers[1].running()) == 1 {
				reborn = workers[1]
			}
			c.report(reborn)
			stop()
			reborn.withLock(func() {
				for _, w := range workers {
					if w != reborn {
						w.onReceipt = nil
					}
				}
				reborn.silent = !test.answers
			})
			d, _ := c.startLeader()
			if test.answers {
				c.waitUntilSettled(d, reborn)
				reborn.withLock(func() { reborn.silent = true })
			}
			most := 0
			c.eventually("the task runs elsewhere", func() bool {
				most = max(most, countRunning(workers))
				return workers[0].startCount()+workers[1].startCount() == 2
			})
			is.Equal(most, 1)
		})
	}
}

// A worker crashed and was back under its id with another service.
func TestNextIncarnationOfAnotherServiceIsLeftToItsPool(t *testing.T) {
	is := is.New(t)
	w := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w)
	c.startLeader()
	c.submit("before", stepOf(1, 1000))
	c.eventually("the first job is completed", func() bool {
		w.finishAll(done)
		return c.state("before") == apiv1.JobState_JOB_STATE_COMPLETED
	})
	starts := w.startCount()
	w.withLock(func() {
		w.crashLocked()
		w.restartLocked()
		w.record.Service = "other"
	})
	c.report(w)
	queue := testQueue()
	queue.Name, queue.Service = "q2", "other"
	c.submitTo(queue, "job", stepOf(1, 1000))
	c.eventually("the task is started", func() bool { return w.startCount() > starts })
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if w.startCount() > starts+1 {
			break
		}
	}
	is.Equal(w.startCount(), starts+1) // the pool of the former service stopped the run
	w.finishAll(done)
	c.eventually("the job is completed", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
}

// The clock of the machine was set back while the worker was down, so that the next incarnation was
// born earlier, by its own account.
func TestNextIncarnationBornEarlierIsAnother(t *testing.T) {
	is := is.New(t)
	w := newFakeWorker("w1", 1000)
	w.record.BornUnixMs = 1000
	c := newTestCluster(t, w)
	c.startLeader()
	c.submit("before", stepOf(3, 300))
	c.eventually("the first job is completed", func() bool {
		w.finishAll(done)
		return c.state("before") == apiv1.JobState_JOB_STATE_COMPLETED
	})
	starts := w.startCount()
	w.withLock(func() {
		w.crashLocked()
		w.restartLocked()
		w.record.BornUnixMs = 500
	})
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task is started", func() bool {
		c.report(w)
		return w.startCount() > starts
	})
	w.finishAll(done)
	time.Sleep(time.Second)
	is.Equal(w.startCount(), starts+1)
	c.eventually("the job is completed", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
}

// poolOfOneWorker returns a pool of an idle worker and a job of one task, and sends no requests.
func poolOfOneWorker() (*pool, *worker, *unit) {
	p := fullPool(0)
	j := newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{
		Id: "job", Queue: testQueue(), Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{stepOf(1, 100)}},
	}}, time.Now(), time.Now().UnixMilli())
	p.insertJob(j)
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.addWorker(newFakeWorker("w1", 1000).record)
	w.synced = true
	w.observeClock(1, time.Now())
	return p, w, j.units[0]
}

// A run was stopped, and its stop confirmed, while its start request was still in flight. That then
// got no response, and reached the worker's next incarnation.
func TestStartInFlightOfAStoppedRunIsRememberedAsLate(t *testing.T) {
	is := is.New(t)
	p, w, u := poolOfOneWorker()
	p.startRuns(u, []placement{{u.tasks[0], w, ""}}, time.Now())
	r := u.tasks[0].run
	_, _, sent := p.startRequest(r, "", 1)
	is.True(sent)
	p.stopRun(r, "a test")
	r.stopConfirmed, r.confirmedAt = true, time.Now()
	p.discardMissingRuns(w, nil, time.Now().Add(time.Millisecond))
	is.Equal(u.tasks[0].run, nil) // the task may be started elsewhere
	is.True(p.handleStartResult(r, Response{}, errNoResponse, time.Now(), 1))
	is.Equal(len(w.lateStarts), 1)
}

// The same, with the stop still under way when the start request times out.
func TestStartInFlightOfAStoppingRunIsRememberedAsLate(t *testing.T) {
	is := is.New(t)
	p, w, u := poolOfOneWorker()
	p.startRuns(u, []placement{{u.tasks[0], w, ""}}, time.Now())
	r := u.tasks[0].run
	_, _, sent := p.startRequest(r, "", 1)
	is.True(sent)
	p.stopRun(r, "a test")
	is.True(p.handleStartResult(r, Response{}, errNoResponse, time.Now(), 1))
	r.stopConfirmed, r.confirmedAt = true, time.Now()
	p.discardMissingRuns(w, nil, time.Now().Add(time.Millisecond))
	is.Equal(u.tasks[0].run, nil) // the task may be started elsewhere
	is.Equal(len(w.lateStarts), 1)
}

// The leader knew the third incarnation of a worker by its list, and then the second one's report
// arrived late. The table has that one's record, which nobody removes once the worker is lost.
func TestLostWorkerLeavesNoRecordOfAnEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	w := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w)
	d, _ := c.startLeader()
	c.waitUntilSettled(d, w)
	second := proto.CloneOf(w.currentRecord())
	second.BornUnixMs++
	w.withLock(func() {
		w.crashLocked()
		w.restartLocked()
		w.record.BornUnixMs++ // the third
	})
	p := d.pool(testService)
	c.eventually("the leader knows the third incarnation", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		known := p.workers["w1"]
		return known != nil && known.record.GetBornUnixMs() == second.GetBornUnixMs()+1 && known.synced
	})
	c.table.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{second}})
	w.withLock(func() { w.silent = true })
	c.eventually("the worker is lost", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.workers["w1"] == nil
	})
	time.Sleep(100 * time.Millisecond)
	is.Equal(len(c.table.Workers()), 0)
}

// One member of a gang was started by the next incarnation of its worker. Every member runs once at a
// time, and the gang is done.
func TestGangWithAMemberInTheNextIncarnation(t *testing.T) {
	is := is.New(t)
	workers := []*fakeWorker{newFakeWorker("w1", 1000), newFakeWorker("w2", 1000), newFakeWorker("w3", 1000)}
	c := newTestCluster(t, workers...)
	d, _ := c.startLeader()
	for _, w := range workers[:2] {
		w.withLock(func() { w.onReceipt = w.rebornLocked })
	}
	gang := newGangStep(2, 1000)
	c.submit("gang", gang)
	c.eventually("the gang runs", func() bool { return countRunning(workers) == 2 })
	most := 0
	for end := time.Now().Add(c.timing.MaxLease); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		count := make(map[string]int)
		for _, w := range workers {
			for _, key := range w.running() {
				count[key.name]++
				most = max(most, count[key.name])
			}
		}
	}
	is.Equal(most, 1)
	for _, w := range workers {
		c.report(w)
		c.waitUntilSettled(d, w)
	}
	is.Equal((&crashRig{testCluster: c}).crashesOf(d, "gang"), 0)
	c.eventually("the gang is done", func() bool {
		for _, w := range workers {
			w.finishAll(done)
		}
		return c.state("gang") == apiv1.JobState_JOB_STATE_COMPLETED
	})
}

// A stop that was confirmed by the former incarnation of a worker counts for nothing in the next one.
func TestConfirmedStopIsSentAgainToTheNextIncarnation(t *testing.T) {
	is := is.New(t)
	p, w, u := poolOfOneWorker()
	p.startRuns(u, []placement{{u.tasks[0], w, ""}}, time.Now())
	r := u.tasks[0].run
	_, _, sent := p.startRequest(r, "", 1)
	is.True(sent)
	p.handleStartResult(r, Response{}, ErrConnectionLost, time.Now(), 1)
	r.stopConfirmed, r.confirmedAt = true, time.Now()
	record := proto.CloneOf(w.record)
	record.BornUnixMs++
	p.updateWorkerRecord(record)
	next := p.workers[w.id]
	is.Equal(r.worker, next)
	is.Equal(next.runs[r.key()], r)
	is.Equal(next.free.cpu, next.capacity.cpu-u.size.cpu)
	is.Equal(w.free, w.capacity)
	p.discardMissingRuns(next, nil, time.Now().Add(time.Millisecond))
	is.Equal(u.tasks[0].run, r) // until the next incarnation has confirmed the stop
	target, _ := p.stopTarget(r)
	is.Equal(target, next)
}

// A poll that carried a cursor broke when its worker crashed, and was executed late by the next
// incarnation. The worker had forgotten the ends that it acknowledged long before.
func TestPollWithoutNewEndsAcknowledgesNothing(t *testing.T) {
	is := is.New(t)
	w := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w)
	_, client := c.startRecordingLeader()
	c.submit("before", stepOf(3, 300))
	c.eventually("the first job is completed", func() bool {
		w.finishAll(done)
		return c.state("before") == apiv1.JobState_JOB_STATE_COMPLETED
	})
	holds := w.holdCount()
	c.eventually("further polls are answered", func() bool { return w.holdCount() >= holds+3 })
	starts := w.startCount()
	w.withLock(func() {
		w.onReceipt = func() {
			w.rebornLocked()
			inFlight := client.lastHold("w1")
			w.onStart = func() {
				for key := range w.runs {
					w.endLocked(key, done)
				}
				w.ackCursor = max(w.ackCursor, inFlight.Cursor) // it is executed late
			}
		}
	})
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task is started", func() bool { return w.startCount() > starts })
	c.eventually("the job is completed", func() bool {
		c.report(w)
		return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED
	})
	is.Equal(w.startCount(), starts+1)
}

// With more workers than slots for polls, each waits longer for its turn than a report may be old for
// an acknowledgement. Ends have to be acknowledged all the same, and idle workers not be polled in a loop.
func TestAcknowledgementsWithMoreWorkersThanSlots(t *testing.T) {
	is := is.New(t)
	var workers []*fakeWorker
	for i := range 60 {
		workers = append(workers, newFakeWorker(fmt.Sprintf("w%02d", i), 1000))
	}
	c := newTestCluster(t, workers...)
	c.timing.MaxLease = cutLease
	c.callLimits = CallLimits{Holds: 4}
	d, _ := c.startLeader()
	c.submit("job", stepOf(60, 1000))
	c.eventually("all tasks run", func() bool { return countRunning(workers) == 60 })
	before := d.counters.holds.Count()
	time.Sleep(2 * time.Second)
	t.Logf("polls in 2 s with 60 busy workers and 4 slots: %d", d.counters.holds.Count()-before)
	for _, w := range workers {
		w.finishAll(done)
	}
	unacknowledged := func() int {
		count := 0
		for _, w := range workers {
			w.withLock(func() { count += len(w.ended) })
		}
		return count
	}
	start := time.Now()
	c.eventually("the job is completed", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
	t.Logf("completed after %v", time.Since(start))
	c.eventually("all ends are acknowledged", func() bool { return unacknowledged() == 0 })
	t.Logf("acknowledged after %v", time.Since(start))
	before = d.counters.holds.Count()
	time.Sleep(2 * time.Second)
	polls := d.counters.holds.Count() - before
	t.Logf("polls in 2 s with 60 idle workers and 4 slots: %d", polls)
	is.True(polls < 60*2*4) // before acknowledgements depended on the age of a report: 120
}

// A leader gave a silent worker up, and delayed the restart of a run that the worker's next incarnation
// may have executed. The next leader knew nothing of that.
func TestDelayedRestartOutlastsTheLeader(t *testing.T) {
	is := is.New(t)
	const maxLease = 7 * time.Second
	workers := oldWorkers(maxLease, "w1", "w2")
	c := newTestCluster(t, workers...)
	c.timing.MaxLease = maxLease
	d, stop := c.startLeader()
	for _, w := range workers {
		w.withLock(func() {
			w.onReceipt = func() {
				w.crashLocked()
				w.restartLocked()
				w.losesAnswer = true
			}
		})
	}
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return countRunning(workers) == 1 })
	for _, w := range workers {
		w.withLock(func() { w.onReceipt = nil })
	}
	p := d.pool(testService)
	c.eventually("the worker is given up", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.workers) == 1
	})
	time.Sleep(100 * time.Millisecond) // its removal from the table, if any, is committed
	is.Equal(countRunning(workers), 1)
	stop()
	c.startLeader()
	most := 0
	c.eventually("the task runs elsewhere", func() bool {
		most = max(most, countRunning(workers))
		return workers[0].startCount()+workers[1].startCount() == 2
	})
	is.Equal(most, 1)
}

// A run that is over was stopped in the next incarnation of its worker, so that a late start of it is
// rejected. It never ran there, and is no cause of the crash of that incarnation.
func TestFencedRunIsNoCauseOfACrash(t *testing.T) {
	is := is.New(t)
	p, first, u := poolOfOneWorker()
	p.startRuns(u, []placement{{u.tasks[0], first, ""}}, time.Now())
	r := u.tasks[0].run
	_, _, sent := p.startRequest(r, "", 1)
	is.True(sent)
	p.handleStartResult(r, Response{}, ErrConnectionLost, time.Now(), 1) // stopped
	r.stopConfirmed, r.confirmedAt = true, time.Now()
	p.discardMissingRuns(first, nil, time.Now().Add(time.Millisecond)) // it is over
	is.Equal(len(first.lateStarts), 1)
	next := func(w *worker) *apiv1.PoolWorker {
		record := proto.CloneOf(w.record)
		record.BornUnixMs++
		return record
	}
	p.updateWorkerRecord(next(first))
	second := p.workers[first.id]
	is.Equal(len(second.runs), 1) // fenced
	p.settlePredecessor(second, map[runKey]bool{})
	u.tasks[0].crashUnrecorded = false
	second.synced, second.heardAt = true, time.Now()
	p.updateWorkerRecord(next(second))
	third := p.workers[first.id]
	c := p.crashUnder(second, third.predecessor.runs, time.Now())
	is.Equal(len(c.suspects), 0) // the second incarnation has listed that it does not run there
}

// A worker crashed while a start request for it waited for a connection, or the next incarnation refused the request. The task,
// which never ran there, was suspected of the crash, and its job was given up for others' crashes.
func TestStartThatWasNotExecutedIsNoCauseOfACrash(t *testing.T) {
	for name, c := range map[string]struct {
		resp      Response
		err       error
		suspected int
	}{
		"no connection":   {err: ErrNotSent},
		"no listener":     {err: ErrNoListener},
		"refused":         {resp: Response{Refusal: RefusedNoCapacity}},
		"connection lost": {err: ErrConnectionLost, suspected: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, first, u := poolOfOneWorker()
			p.startRuns(u, []placement{{u.tasks[0], first, ""}}, time.Now())
			r := u.tasks[0].run
			_, _, sent := p.startRequest(r, "", 1)
			is.True(sent)
			first.heardAt = time.Now()
			record := proto.CloneOf(first.record)
			record.BornUnixMs++
			p.updateWorkerRecord(record) // of the next incarnation
			second := p.workers[first.id]
			is.True(p.handleStartResult(r, c.resp, c.err, time.Now(), 1))
			is.Equal(len(p.crashUnder(first, second.predecessor.runs, time.Now()).suspects), c.suspected)
			p.settlePredecessor(second, map[runKey]bool{})
			is.Equal(u.tasks[0].crashUnrecorded, c.suspected > 0)
		})
	}
}

// Two runs of a task are over on a worker, and start requests of both may still be executed by its next
// incarnation. The task waits until both are fenced there.
func TestTaskWaitsUntilAllItsLateStartsAreFenced(t *testing.T) {
	is := is.New(t)
	p, w, u := poolOfOneWorker()
	var runs []*run
	for range 2 {
		w.observeClock(1, time.Now())
		w.failedCalls = 0
		p.startRuns(u, []placement{{u.tasks[0], w, ""}}, time.Now())
		r := u.tasks[0].run
		_, _, sent := p.startRequest(r, "", 1)
		is.True(sent)
		p.handleStartResult(r, Response{}, ErrConnectionLost, time.Now(), 1)
		r.stopConfirmed, r.confirmedAt = true, time.Now()
		p.discardMissingRuns(w, nil, time.Now().Add(time.Millisecond))
		runs = append(runs, r)
	}
	is.Equal(len(w.lateStarts), 2)
	record := proto.CloneOf(w.record)
	record.BornUnixMs++
	p.updateWorkerRecord(record)
	next := p.workers[w.id]
	is.Equal(len(next.runs), 2)
	runs[0].stopConfirmed, runs[0].confirmedAt = true, time.Now() // the other stop is not confirmed yet
	p.discardMissingRuns(next, nil, time.Now().Add(time.Millisecond))
	is.Equal(len(next.runs), 1)
	u.tasks[0].notBefore, u.tasks[0].crashUnrecorded = time.Time{}, false
	is.True(!u.tasks[0].pending(time.Now())) // a start request of the second run may still be executed
}

// Workers crash and are back at once, in series, with starts in flight, lost and executed late, and a
// change of the leader. Afterwards nothing is stuck, and the capacity adds up.
func TestNothingIsStuckAfterManyIncarnations(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 28))
	var workers []*fakeWorker
	for i := range 6 {
		workers = append(workers, newFakeWorker(fmt.Sprintf("w%d", i), 2000))
	}
	c := newTestCluster(t, workers...)
	c.timing.MaxLease = 3 * time.Second
	d, stop := c.startLeader()
	const jobCount = 60
	states := func() (open int) {
		for i := range jobCount {
			switch c.state(fmt.Sprintf("job%d", i)) {
			case apiv1.JobState_JOB_STATE_COMPLETED, apiv1.JobState_JOB_STATE_FAILED:
			default:
				open++
			}
		}
		return open
	}
	for round := range 120 {
		if round%2 == 0 {
			id := fmt.Sprintf("job%d", round/2)
			if round%10 == 0 {
				c.submit(id, newGangStep(3, 700))
			} else {
				c.submit(id, stepOf(2, 600))
			}
		}
		w := workers[random.IntN(len(workers))]
		switch random.IntN(6) {
		case 0:
			w.withLock(w.rebornLocked)
		case 1:
			w.withLock(func() { w.onReceipt = w.rebornLocked })
		case 2:
			w.withLock(func() { w.startsToLose, w.lostError, w.onLost = 1, ErrConnectionLost, w.rebornLocked })
		case 3:
			w.withLock(func() { w.startsToLose, w.lostError, w.onLost = 1, nil, nil })
		case 4:
			w.withLock(func() {
				w.crashLocked()
				w.restartLocked()
			})
			w.deliverLostStarts()
		case 5:
			w.deliverLostStarts()
			w.finishOne()
		}
		if random.IntN(2) == 0 {
			c.report(workers[random.IntN(len(workers))])
		}
		if round == 60 {
			stop()
			d, _ = c.startLeader()
		}
		time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
	}
	for _, w := range workers {
		w.withLock(func() { w.startsToLose, w.onLost, w.onReceipt, w.lostStarts = 0, nil, nil, nil })
		c.report(w)
	}
	c.eventually("no job is open", func() bool {
		for _, w := range workers {
			w.finishAll(done)
		}
		return states() == 0
	})
	for _, w := range workers {
		c.waitUntilSettled(d, w)
	}
	p := d.pool(testService)
	c.eventually("the pool has applied the last ends, which the table shows before", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.jobs) == 0
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	is.Equal(len(p.jobs), 0)
	is.Equal(len(p.unreconciled), 0)
	is.Equal(len(p.workerList), len(workers))
	for _, w := range p.workerList {
		is.Equal(w.free, w.capacity)
		is.Equal(len(w.runs), 0)
		is.Equal(w.orphaned, 0)
		is.Equal(w.riskyRuns, 0)
	}
}

// hasStoppingRun reports whether a run of the worker is being stopped.
func hasStoppingRun(w *worker) bool {
	for _, r := range w.runs {
		if r.phase == phaseStopping {
			return true
		}
	}
	return false
}
