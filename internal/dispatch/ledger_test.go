package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// countedRun adds a worker to the pool with a run of workspace "a" of one core, whose start was sent.
func countedRun(p *pool) (*worker, *run) {
	j := newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{
		Id: "job", Workspace: "a", Queue: testQueue(), Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{stepOf(1, 1000)}},
	}}, time.Now(), time.Now().UnixMilli())
	p.insertJob(j)
	w := p.addWorker(newFakeWorker("w", 4000).record)
	u := j.units[0]
	r := &run{
		task: u.tasks[0], name: u.tasks[0].name().String(), number: 1, worker: w, size: u.size, phase: phaseActive,
		workspace: "a", countedSize: u.countedSize, sent: true, attemptSent: time.Now(),
	}
	u.tasks[0].setRun(r)
	w.addRun(r)
	return w, r
}

// capOfOneCore returns a request for a core in workspace "a" with a cap of one.
func capOfOneCore() capRequest {
	limit, limited := capOf(cappedWorkspace("a", 1000))
	return capRequest{workspace: "a", limit: limit, limited: limited, size: resources{cpu: 1000}, tasks: 1}
}

// A run that moved to the next incarnation was not counted for a moment, in which another pool could start
// a task. The pools that hold units back are told when anything stops counting.
func TestRunThatMovesStaysCounted(t *testing.T) {
	is := is.New(t)
	p, other := fullPool(0), fullPool(0)
	w, r := countedRun(p)
	is.Equal(p.d.ledger.room(other, capOfOneCore(), time.Now()), 0)
	p.replaceWorker(w, nextRecord(w.record, 2), false, "test")
	is.True(r.worker != w)
	is.Equal(p.d.ledger.usage("a"), resources{cpu: 1000})
	is.Equal(len(p.d.ledger.account("a").holding), 1)
	is.Equal(len(other.wakeup), 0)
	r.worker.removeRun(r)
	is.Equal(p.d.ledger.usage("a"), resources{})
	is.Equal(len(other.wakeup), 1)
}

// A start that a later incarnation of a silent worker may execute was not counted once the worker was lost.
func TestUncertainStartOfALostWorkerStaysCounted(t *testing.T) {
	is := is.New(t)
	p := fullPool(0)
	w, r := countedRun(p)
	p.removeWorker(w, lossSilent, "test")
	is.Equal(r.task.run, nil)
	is.Equal(p.d.ledger.usage("a"), resources{cpu: 1000})
	located := fullPool(0)
	w, r = countedRun(located)
	r.located = true
	located.removeWorker(w, lossSilent, "test")
	is.Equal(located.d.ledger.usage("a"), resources{})
}

// It stops counting when the lease of such a start has expired.
func TestUncertainStartStopsCounting(t *testing.T) {
	c := newTestCluster(t)
	c.timing.MaxLease = 200 * time.Millisecond
	d, _ := c.startLeader()
	p := d.pool(testService)
	p.mu.Lock()
	w, _ := countedRun(p)
	p.jobs = make(map[string]*job)
	p.removeWorker(w, lossSilent, "test")
	p.mu.Unlock()
	is.New(t).Equal(d.ledger.usage("a"), resources{cpu: 1000})
	c.within(2*time.Second, "nothing is counted", func() bool { return d.ledger.usage("a") == resources{} })
}

// The check and the reservation were two steps, between which another pool could reserve the same room.
func TestReservationIsCountedAtOnce(t *testing.T) {
	is := is.New(t)
	p, now := fullPool(0), time.Now()
	is.Equal(p.d.ledger.reserve(p, capOfOneCore(), now), 1)
	is.Equal(p.d.ledger.reserve(p, capOfOneCore(), now), 0)
	is.Equal(p.d.ledger.usage("a"), resources{cpu: 1000})
}
