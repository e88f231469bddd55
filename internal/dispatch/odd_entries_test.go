package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// The worker of an entry that another writer had left was called for ever.
func TestWorkerThatNeverAnswersIsForgotten(t *testing.T) {
	w1, w2 := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	w2.silent = true
	c := newTestCluster(t, w1)
	d, _ := c.startLeader()
	c.mu.Lock()
	c.workers["w2"] = w2
	c.mu.Unlock()
	c.table.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{w2.record}})
	d.WorkerChanged(w2.record)
	c.eventually("it is called", func() bool { return d.counters.holdsFailed.Count() > 0 })
	c.eventually("it is forgotten", func() bool { return len(c.table.Workers()) == 1 })
	w2.withLock(func() { w2.silent = false })
	c.table.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{w2.record}}) // it was one after all
	d.WorkerChanged(w2.record)
	c.submit("job", stepOf(2, 1000))
	c.eventually("both run a task", func() bool { return len(w1.running()) == 1 && len(w2.running()) == 1 })
}

// An entry of another writer with a sound worker's id and another address took the worker's
// place: the answers from there were taken for the worker's.
func TestEntryWithAnotherAddressIsNotTheWorkers(t *testing.T) {
	is := is.New(t)
	order, now := newReportOrder(), time.Now()
	own := &apiv1.PoolWorker{Id: "w", BornUnixMs: 5, Service: "s", Address: "10.0.0.1:80", Sequence: 3, CpuMillis: 1000}
	odd := proto.CloneOf(own)
	odd.Address, odd.Sequence = "10.0.0.2:80", 9
	is.True(!order.Changes(own, odd, now))
	next := proto.CloneOf(own)
	next.Sequence, next.CpuMillis = 4, 500
	is.True(order.Changes(own, next, now)) // although its sequence is lower than the odd one's
	later := proto.CloneOf(odd)
	later.BornUnixMs = 6
	is.True(order.Changes(own, later, now)) // another incarnation may have another address
}
