package dispatch

import "github.com/rcrowley/go-metrics"

// counters of one process, over all its terms.
type counters struct {
	ordered, started, refusedStarts, unclearStarts metrics.Counter
	done, failed, otherEnds                        metrics.Counter
	stops, lostRuns, lostWorkers, setAside         metrics.Counter
	adviceAsked, adviceNames, adviceFailed         metrics.Counter
	advicePutOff                                   metrics.Counter
	waitToOrder, startTime, adviceTime             metrics.Histogram // ms
}

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
		ordered: counter("runs.ordered"), started: counter("runs.started"),
		refusedStarts: counter("runs.refused"), unclearStarts: counter("runs.unclear"),
		done: counter("ends.done"), failed: counter("ends.failed"), otherEnds: counter("ends.other"),
		stops: counter("runs.stopped"), lostRuns: counter("runs.lost"),
		lostWorkers: counter("workers.lost"), setAside: counter("workers.set_aside"),
		adviceAsked: counter("advice.asked"), adviceNames: counter("advice.names"), adviceFailed: counter("advice.failed"),
		advicePutOff: counter("advice.put_off"),
		waitToOrder:  histogram("wait_to_order_ms"), startTime: histogram("start_ms"), adviceTime: histogram("advice_ms"),
	}
}
