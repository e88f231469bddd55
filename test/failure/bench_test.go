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

// The benchmarks run the daemon as separate processes. Each measures a fixed number
// of events, independent of b.N, and reports their distribution.

// benchEntries is the current number of entries of the larger user.
const benchEntries = 12

// BenchmarkSystemFailover measures the time from the kill, or the freeze, of the
// leader to the next commit. Specified bound: 2 s.
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
				c.await("every voter to be reachable", func() bool { return c.allReachable() })
			}
			times.report(b, "failover")
		})
	}
}

// BenchmarkSystemTimeInForce measures the time from the call that publishes a
// configuration until it is in force at every entry. Specified bounds: p99 1 s; 4 s
// with an entry cut off.
func BenchmarkSystemTimeInForce(b *testing.B) {
	const rounds = 40
	for _, cut := range []bool{false, true} {
		b.Run(fmt.Sprintf("cut=%t", cut), func(b *testing.B) {
			relays := newLinks(b)
			v := newVersions(b, layout{voters: 3, entries: benchEntries, controlAddress: relays.startRelay})
			times := newDurations()
			count := rounds
			if cut {
				count = rounds / 10
			}
			for range count {
				if cut {
					relays.blackhole(v.entries[0].name)
				}
				began := time.Now()
				v.publishNext()
				v.awaitInForce()
				times.add(time.Since(began))
				if cut {
					relays.restore(v.entries[0].name)
					v.await("the entry to serve again", func() bool { return v.client.healthy(v.entries[0].callerAddress) })
				}
			}
			times.report(b, "in-force")
		})
	}
}

// BenchmarkSystemIdleEntry measures the processor time, the memory and the control
// traffic of an entry without requests, with the current 50 endpoints. Specified
// bounds: 2.7 % of a core, 256 MB, 3 KB/s.
func BenchmarkSystemIdleEntry(b *testing.B) {
	const (
		endpoints = 50
		duration  = 20 * time.Second
	)
	relays := newLinks(b)
	c := newCluster(b, layout{voters: 3, entries: benchEntries, controlAddress: relays.startRelay})
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
	bytesBefore, cpuBefore, began := relays.bytesCarried(measured.name), cpuTime(b, pid), time.Now()
	c.await("the measurement to end", func() bool { return time.Since(began) >= duration })
	seconds := time.Since(began).Seconds()
	b.ReportMetric(float64(relays.bytesCarried(measured.name)-bytesBefore)/seconds/1000, "KB/s")
	b.ReportMetric(100*(cpuTime(b, pid)-cpuBefore).Seconds()/seconds, "%core")
	b.ReportMetric(residentBytes(b, pid)/1e6, "MB")
}

// BenchmarkSystemOrders measures non-idempotent requests through three entries. The
// claim of each is committed on 3 voters before the request is forwarded. Specified
// bound: 2,000 claims a second, p99 25 ms.
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

// BenchmarkSystemUrgentStart measures the time from publishing an urgent task to its
// start, while batch tasks start at the specified peak of 350 a second. Specified
// bound: 3.9 s.
func BenchmarkSystemUrgentStart(b *testing.B) {
	const (
		workers  = 100 // few, since they share the cores with the daemons
		tasks    = 9000
		duration = time.Second
		rounds   = 10
	)
	c := newCluster(b, layout{voters: 3})
	recorder := newTaskRecorder()
	startWorkers(c, recorder, workers, duration, c.directClient)
	c.await("the workers to be known", func() bool { return c.worker(fmt.Sprintf("worker-%d", workers)).GetAlive() })
	configuration := batchConfiguration(apiv1.JobKind_JOB_KIND_BATCH, tasks, false)
	configuration.Jobs[0].Class = apiv1.Class_CLASS_BULK
	configuration.Teams[0].Quota = &apiv1.Resources{CpuMillis: 10_000_000, MemoryBytes: 100 << 40}
	c.publish(configuration)
	c.await("tasks to start", func() bool { return recorder.started() > 0 })
	began, before := time.Now(), recorder.started()
	times := newDurations()
	for round := range rounds {
		urgent := batchConfiguration(apiv1.JobKind_JOB_KIND_BATCH, 1, false).GetJobs()[0]
		urgent.Name = fmt.Sprintf("urgent-%d", round)
		urgent.Class = apiv1.Class_CLASS_URGENT
		configuration.Jobs = append(configuration.Jobs, urgent)
		published := time.Now()
		c.publish(configuration)
		c.await("the urgent task to start", func() bool { return recorder.startsOf(urgent.GetName()+"//0") > 0 })
		times.add(time.Since(published))
	}
	b.ReportMetric(float64(recorder.started()-before)/time.Since(began).Seconds(), "starts/s")
	times.report(b, "urgent")
}

// startsOf returns how often the task was started.
func (r *taskRecorder) startsOf(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[name]
}

// allReachable reports whether the leader can reach every member.
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

// bytesCarried returns the bytes forwarded so far on the connections that the process
// dialed, in both directions.
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
