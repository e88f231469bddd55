package failure_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/endpoint"
)

// The benchmarks run the daemon as separate processes. Each measures a fixed
// number of events whatever b.N, and reports their distribution.

// benchEntries is today's number of entries at the larger user.
const benchEntries = 12

// BenchmarkSystemFailover measures the time from a leader's death, or freeze,
// to the next commit. Stated bound: 2 s.
func BenchmarkSystemFailover(b *testing.B) {
	const rounds = 20
	for name, fault := range map[string]struct{ begin, end func(*member) }{
		"killed": {(*member).kill, (*member).start},
		"frozen": {(*member).freeze, (*member).resume},
	} {
		b.Run(name, func(b *testing.B) {
			c := newCluster(b, layout{voters: 3})
			c.publish(configurationOf("first"))
			times := newDurations()
			for round := range rounds {
				leader := c.leader()
				fault.begin(leader)
				began := time.Now()
				c.publish(configurationOf(fmt.Sprintf("%s-%d", name, round)))
				times.add(time.Since(began))
				fault.end(leader)
				c.await("every voter to answer", func() bool { return c.allReachable() })
			}
			times.report(b, "failover")
		})
	}
}

// BenchmarkSystemTimeInForce measures the time from a publication's call to
// its being in force at every entry. Stated bounds: p99 1 s; 4 s with an entry
// cut off.
func BenchmarkSystemTimeInForce(b *testing.B) {
	const rounds = 40
	for _, cut := range []bool{false, true} {
		b.Run(fmt.Sprintf("cut=%t", cut), func(b *testing.B) {
			between := newLinks(b)
			v := newVersions(b, layout{voters: 3, entries: benchEntries, controlAddress: between.startRelay})
			times := newDurations()
			count := rounds
			if cut {
				count = rounds / 10
			}
			for range count {
				if cut {
					between.blackhole(v.entries[0].name)
				}
				began := time.Now()
				v.publishNext()
				v.awaitInForce()
				times.add(time.Since(began))
				if cut {
					between.restore(v.entries[0].name)
					v.await("the entry to be back", func() bool { return v.client.healthy(v.entries[0].callerAddress) })
				}
			}
			times.report(b, "in-force")
		})
	}
}

// BenchmarkSystemIdleEntry measures what an entry spends on control while
// nobody calls, at today's 50 endpoints. Stated bounds: 2.7 % of a core,
// 256 MB, 3 KB/s.
func BenchmarkSystemIdleEntry(b *testing.B) {
	const (
		endpoints = 50
		span      = 20 * time.Second
	)
	between := newLinks(b)
	c := newCluster(b, layout{voters: 3, entries: benchEntries, controlAddress: between.startRelay})
	c.publish(dispatchConfiguration())
	var starting sync.WaitGroup
	for i := range endpoints {
		starting.Go(func() { c.startEndpoint(fmt.Sprintf("domain-%d", i%3+1), endpoint.Behaviour{}) })
	}
	starting.Wait()
	client := newCaller()
	defer client.close()
	c.awaitServiceServed(client)

	measured := c.entries[0]
	pid := measured.command.Process.Pid
	bytesBefore, cpuBefore, began := between.bytesCarried(measured.name), cpuTime(b, pid), time.Now()
	c.await("the span to pass", func() bool { return time.Since(began) >= span })
	seconds := time.Since(began).Seconds()
	b.ReportMetric(float64(between.bytesCarried(measured.name)-bytesBefore)/seconds/1000, "KB/s")
	b.ReportMetric(100*(cpuTime(b, pid)-cpuBefore).Seconds()/seconds, "%core")
	b.ReportMetric(residentBytes(b, pid)/1e6, "MB")
}

// BenchmarkSystemOrders measures non-idempotent requests through three entries,
// each with its claim committed on 3 voters before it is sent. Stated bound:
// 2,000 claims a second, p99 25 ms.
func BenchmarkSystemOrders(b *testing.B) {
	const (
		callers = 48
		each    = 100
	)
	c := newCluster(b, layout{voters: 3, entries: 3})
	c.publish(dispatchConfiguration())
	for i := range 9 {
		c.startEndpoint(fmt.Sprintf("domain-%d", i%3+1), endpoint.Behaviour{})
	}
	client := newCaller()
	defer client.close()
	c.awaitServiceServed(client)
	var (
		sending sync.WaitGroup
		mu      sync.Mutex
		times   = newDurations()
		failed  int
	)
	began := time.Now()
	for id := range callers {
		sending.Go(func() {
			for n := range each {
				key := fmt.Sprintf("order-%d-%d", id, n)
				sent := time.Now()
				r := client.send(c.entries[id%3].callerAddress, http.MethodPost, ordersPath, key, key, loadDeadline)
				took := time.Since(sent)
				mu.Lock()
				times.add(took)
				if !r.done() {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	sending.Wait()
	b.ReportMetric(callers*each/time.Since(began).Seconds(), "orders/s")
	b.ReportMetric(float64(failed), "not-done")
	times.report(b, "order")
}

// BenchmarkSystemUrgentStart measures the time from publishing an urgent task
// to its start, while batch tasks start at the stated peak of 350 a second.
// Stated bound: 3.9 s.
func BenchmarkSystemUrgentStart(b *testing.B) {
	const (
		workers  = 100 // the benchmark's own processes share the machine
		tasks    = 9000
		duration = time.Second
		rounds   = 10
	)
	c := newCluster(b, layout{voters: 3})
	run := newTaskRecorder()
	startWorkers(c, run, workers, duration, c.directClient)
	c.await("the workers to be known", func() bool { return c.worker(fmt.Sprintf("worker-%d", workers)).GetAlive() })
	configuration := batchConfiguration(apiv1.JobKind_JOB_KIND_BATCH, tasks, false)
	configuration.Jobs[0].Class = apiv1.Class_CLASS_BULK
	configuration.Teams[0].Quota = &apiv1.Resources{CpuMillis: 10_000_000, MemoryBytes: 100 << 40}
	c.publish(configuration)
	c.await("tasks to start", func() bool { return run.started() > 0 })
	began, before := time.Now(), run.started()
	times := newDurations()
	for round := range rounds {
		urgent := batchConfiguration(apiv1.JobKind_JOB_KIND_BATCH, 1, false).GetJobs()[0]
		urgent.Name = fmt.Sprintf("urgent-%d", round)
		urgent.Class = apiv1.Class_CLASS_URGENT
		configuration.Jobs = append(configuration.Jobs, urgent)
		published := time.Now()
		c.publish(configuration)
		c.await("the urgent task to start", func() bool { return run.startsOf(urgent.GetName()+"//0") > 0 })
		times.add(time.Since(published))
	}
	b.ReportMetric(float64(run.started()-before)/time.Since(began).Seconds(), "starts/s")
	times.report(b, "urgent")
}

// startsOf returns how often a task was started.
func (r *taskRecorder) startsOf(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[name]
}

// allReachable reports whether the leader hears from every voter.
func (c *cluster) allReachable() bool {
	status, err := c.client.Control().ClusterStatus(context.Background(), &apiv1.ClusterStatusRequest{})
	if err != nil {
		return false
	}
	for _, info := range status.GetMembers() {
		if !info.GetReachable() {
			return false
		}
	}
	return true
}

// bytesCarried returns how much the process's connections carried so far.
func (l *links) bytesCarried(from string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var total int64
	for _, r := range l.relays[from] {
		traffic := r.Traffic()
		total += traffic.ToTarget + traffic.ToClient
	}
	return total
}
