package dispatch

import (
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	processmetrics "github.com/pistachioport/pistachioport/internal/metrics"
)

// loadLogInterval is the time between two log lines about the leader's load. Shorter
// overloads are seen in the lines about single runs.
const loadLogInterval = time.Second

// logLoad logs, until the term ends, how often the leader has done each kind of work since
// the last line, and the CPU time that it took. An overload that feeds itself shows as
// attempts and failed polls that grow while the ends of runs don't. A leader that is short of
// processor time shows as goroutines that wait to run, and as waits of urgent jobs for their first
// start and of ends for their commit that grow together. A pool without room shows as attempts to place
// units that find no worker, and as cpu_free near 0; units that wait beside free CPU wait for the leader.
func (d *Dispatcher) logLoad() {
	logged := []struct {
		key     string
		counter metrics.Counter
		last    int64
	}{
		{key: "holds", counter: d.counters.holds},
		{key: "holds_failed", counter: d.counters.holdsFailed},
		{key: "starts", counter: d.counters.startsSent},
		{key: "start_attempts", counter: d.counters.startAttempts},
		{key: "stops", counter: d.counters.runsStopped},
		{key: "stop_attempts", counter: d.counters.stopAttempts},
		{key: "done", counter: d.counters.endsDone},
		{key: "lost", counter: d.counters.runsLost},
		{key: "advice", counter: d.counters.adviceRequests},
		{key: "passes", counter: d.counters.passes},
		{key: "pass_us", counter: d.counters.passMicros},
		{key: "urgent_passes", counter: d.counters.urgentPasses},
		{key: "urgent_pass_us", counter: d.counters.urgentPassMicros},
		{key: "units_tried", counter: d.counters.unitsTried},
		{key: "units_without_room", counter: d.counters.unitsWithoutRoom},
		{key: "reports_before_ack", counter: d.counters.reportsBeforeAck},
		{key: "connections", counter: d.counters.workerConnections},
		{key: "urgent_first_starts", counter: d.counters.urgentFirstStarts},
		{key: "urgent_first_wait_ms", counter: d.counters.urgentFirstWaitMs},
		{key: "other_first_starts", counter: d.counters.otherFirstStarts},
		{key: "other_first_wait_ms", counter: d.counters.otherFirstWaitMs},
		{key: "end_commits", counter: d.counters.endCommits},
		{key: "end_commit_us", counter: d.counters.endCommitMicros},
	}
	for i := range logged {
		logged[i].last = logged[i].counter.Count()
	}
	lastCPU, lastTime := processmetrics.CPUSeconds(), time.Now()
	var runtimeMeter processmetrics.RuntimeLoadMeter
	runtimeMeter.Read()
	for sleep(d.ctx, loadLogInterval) == nil {
		cpu, now := processmetrics.CPUSeconds(), time.Now()
		var work []any
		for i := range logged {
			count := logged[i].counter.Count()
			work = append(work, logged[i].key, count-logged[i].last)
			logged[i].last = count
		}
		runtimeLoad := runtimeMeter.Read()
		d.Logger.Info("leader load", "cpu_ms", int64((cpu-lastCPU)*1000), "elapsed_ms", now.Sub(lastTime).Milliseconds(),
			"gc_ms", runtimeLoad.GC.Milliseconds(), "runnable_p99_us", runtimeLoad.RunnableP99.Microseconds(),
			"waiting_units", d.counters.unitsWaiting.Value(), "waiting_on_time", d.counters.unitsOnTime.Value(),
			"waiting_expired", d.counters.unitsExpired.Value(), "waiting_held", d.counters.unitsHeldByCap.Value(),
			"cpu_free", d.counters.cpuFree.Value(), "cpu_capacity", d.counters.cpuCapacity.Value(), slog.Group("work", work...))
		lastCPU, lastTime = cpu, now
	}
}
