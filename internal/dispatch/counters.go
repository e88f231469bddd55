package dispatch

import "github.com/rcrowley/go-metrics"

// counters holds the metrics of this process. They are registered once and
// shared by the dispatchers of all its terms.
type counters struct {
	startsSent, startsConfirmed, startsRefused, startsUnanswered metrics.Counter
	endsDone, endsFailed, endsOther                              metrics.Counter
	runsStopped, runsLost, workersLost, workersQuarantined       metrics.Counter
	runsPreempted, panics, workersResized                        metrics.Counter
	adviceRequests, adviceWorkersNamed, adviceFailed             metrics.Counter
	adviceDeferred, workersCrashed, jobsGivenUp                  metrics.Counter
	refusedForTrials                                             metrics.Counter // jobs
	holds, holdsFailed, startAttempts, stopAttempts              metrics.Counter
	passes, passMicros                                           metrics.Counter
	urgentPasses, urgentPassMicros                               metrics.Counter
	unitsTried, unitsWithoutRoom                                 metrics.Counter   // attempts of passes to place units, and those that found no worker
	reportsBeforeAck                                             metrics.Counter   // polls that only showed to which incarnation a connection leads
	outdatedReports                                              metrics.Counter   // of workers, see IsOutdated
	workerConnections                                            metrics.Counter   // opened to workers
	urgentFirstStarts, urgentFirstWaitMs                         metrics.Counter   // first starts sent of jobs of the highest priority, and their waits from acceptance
	otherFirstStarts, otherFirstWaitMs                           metrics.Counter   // the same of other jobs
	endCommits, endCommitMicros                                  metrics.Counter   // waits for the commit of reported ends
	unitsWaiting, workersOnTrial                                 metrics.Gauge     // in the last pass
	unitsHeldByCap                                               metrics.Gauge     // in the last passes of all pools
	unitsOnTime, unitsExpired                                    metrics.Gauge     // of those that wait: can meet their objective, and have no value any more
	cpuFree, cpuCapacity                                         metrics.Gauge     // of a pool's workers that can be started on, in thousandths of a core
	timeToFirstStart, startLatency, adviceLatency                metrics.Histogram // ms
	jobsOverRate                                                 metrics.Counter   // accepted beyond the rate of their workspace
	jobsRefused                                                  map[RefusalReason]metrics.Counter
}

// WorkerConnectionsMetric is the name of the counter of connections that a WorkerClient has opened
// to workers.
const WorkerConnectionsMetric = "dispatch.workers.connections"

const (
	histogramSamples = 512
	histogramAlpha   = 0.015
)

func newCounters(registry metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("dispatch."+name, registry) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram("dispatch."+name, registry,
			metrics.NewExpDecaySample(histogramSamples, histogramAlpha))
	}
	return counters{
		startsSent: counter("runs.ordered"), startsConfirmed: counter("runs.started"),
		startsRefused: counter("runs.refused"), startsUnanswered: counter("runs.unclear"),
		endsDone: counter("ends.done"), endsFailed: counter("ends.failed"), endsOther: counter("ends.other"),
		runsPreempted: counter("runs.preempted"), panics: counter("panics"),
		runsStopped: counter("runs.stopped"), runsLost: counter("runs.lost"),
		workersCrashed: counter("workers.crashed"), jobsGivenUp: counter("jobs.given_up"), workersResized: counter("workers.resized"),
		workersLost: counter("workers.lost"), workersQuarantined: counter("workers.set_aside"),
		adviceRequests: counter("advice.asked"), adviceWorkersNamed: counter("advice.names"), adviceFailed: counter("advice.failed"),
		adviceDeferred:   counter("advice.put_off"),
		refusedForTrials: counter("jobs.refused.trials"),
		holds:            counter("holds.sent"), holdsFailed: counter("holds.failed"),
		startAttempts: counter("runs.start_attempts"), stopAttempts: counter("runs.stop_attempts"),
		passes: counter("passes.run"), passMicros: counter("passes.us"),
		urgentPasses: counter("urgent_passes.run"), urgentPassMicros: counter("urgent_passes.us"),
		unitsTried: counter("passes.units"), unitsWithoutRoom: counter("passes.units_without_room"),
		outdatedReports:  counter("reports.outdated"),
		reportsBeforeAck: counter("holds.before_ack"), workerConnections: metrics.GetOrRegisterCounter(WorkerConnectionsMetric, registry),
		urgentFirstStarts: counter("first_starts.urgent"), urgentFirstWaitMs: counter("first_starts.urgent_wait_ms"),
		otherFirstStarts: counter("first_starts.other"), otherFirstWaitMs: counter("first_starts.other_wait_ms"),
		endCommits: counter("end_commits"), endCommitMicros: counter("end_commits.us"),
		unitsHeldByCap:   metrics.GetOrRegisterGauge("dispatch.units.held_by_cap", registry),
		unitsWaiting:     metrics.GetOrRegisterGauge("dispatch.units.waiting", registry),
		unitsOnTime:      metrics.GetOrRegisterGauge("dispatch.units.on_time", registry),
		unitsExpired:     metrics.GetOrRegisterGauge("dispatch.units.expired", registry),
		cpuFree:          metrics.GetOrRegisterGauge("dispatch.workers.cpu_free", registry),
		cpuCapacity:      metrics.GetOrRegisterGauge("dispatch.workers.cpu_capacity", registry),
		workersOnTrial:   metrics.GetOrRegisterGauge("dispatch.workers.on_trial", registry),
		timeToFirstStart: histogram("wait_to_order_ms"), startLatency: histogram("start_ms"), adviceLatency: histogram("advice_ms"),
		jobsOverRate: counter("jobs.over_rate"),
		jobsRefused: map[RefusalReason]metrics.Counter{
			RefusedTrial: counter("jobs.refused.trial"), RefusedRate: counter("jobs.refused.rate"), RefusedLate: counter("jobs.refused.late"),
		},
	}
}
