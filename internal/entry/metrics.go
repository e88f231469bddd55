package entry

import (
	"github.com/cockroachdb/errors"
	metrics "github.com/rcrowley/go-metrics"
)

// entryMetrics are the entry's metrics.
type entryMetrics struct {
	requests          metrics.Counter
	done              metrics.Counter
	notRun            metrics.Counter
	unknown           metrics.Counter
	responsesBroken   metrics.Counter // answers that the endpoint broke off
	responsesNotTaken metrics.Counter // answers that the caller did not take
	retries           metrics.Counter
	failedTries       metrics.Counter
	aborts            metrics.Counter
	unsettled         metrics.Counter // outcomes that could not be recorded
	replays           metrics.Counter
	renewals          metrics.Counter
	lostLeases        metrics.Counter
	inFlight          metrics.Gauge
	waiting           metrics.Gauge
	linkBytes         metrics.Gauge // bytes over the link between regions so far
	slotWait          metrics.Timer // for a slot, of requests that found none free
}

func newEntryMetrics(registry metrics.Registry) *entryMetrics {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("entry."+name, registry)
	}
	gauge := func(name string) metrics.Gauge {
		return metrics.GetOrRegisterGauge("entry."+name, registry)
	}
	return &entryMetrics{
		requests:          counter("requests"),
		done:              counter("outcome.done"),
		notRun:            counter("outcome.not_run"),
		unknown:           counter("outcome.unknown"),
		responsesBroken:   counter("answers.broken_off"),
		responsesNotTaken: counter("answers.not_taken"),
		retries:           counter("retries"),
		failedTries:       counter("tries.failed"),
		aborts:            counter("claims.aborts"),
		unsettled:         counter("claims.unsettled"),
		replays:           counter("claims.replays"),
		renewals:          counter("lease.renewals"),
		lostLeases:        counter("lease.lost"),
		inFlight:          gauge("in_flight"),
		waiting:           gauge("waiting"),
		linkBytes:         gauge("link.bytes"),
		slotWait:          metrics.GetOrRegisterTimer("entry.wait", registry),
	}
}

// countDelivery notes how the delivery of an endpoint's answer ended.
func (s *Server) countDelivery(err error) {
	switch {
	case err == nil:
		s.metrics.done.Inc(1)
	case errors.Is(err, errCallerWrite):
		s.metrics.responsesNotTaken.Inc(1)
	default:
		s.metrics.responsesBroken.Inc(1)
	}
}
