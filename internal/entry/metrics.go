package entry

import (
	"github.com/cockroachdb/errors"
	metrics "github.com/rcrowley/go-metrics"
)

// entryMetrics are the entry's metrics.
type entryMetrics struct {
	requests             metrics.Counter
	done                 metrics.Counter // responses delivered in full, without replays
	notRun               metrics.Counter // refusals with an outcome other than unknown
	unknown              metrics.Counter
	responsesCutOff      metrics.Counter // responses cut off by the endpoint
	responsesUndelivered metrics.Counter // responses that could not be written to the caller
	retries              metrics.Counter
	failedTries          metrics.Counter
	brokenTries          metrics.Counter // tries of idempotent requests during which the endpoint closed the connection
	suspectsStopped      metrics.Counter // requests not sent again after such breaks
	suspectsRefused      metrics.Counter // requests refused because of breaks under earlier sends of them
	aborts               metrics.Counter
	unsettled            metrics.Counter // outcomes that could not be recorded
	replays              metrics.Counter
	renewals             metrics.Counter
	lostLeases           metrics.Counter
	inFlight             metrics.Gauge
	waiting              metrics.Gauge
	linkBytes            metrics.Gauge // total bytes over the link between regions
	slotWait             metrics.Timer // queueing time of requests that got a slot after waiting
}

// newEntryMetrics registers the metrics. Alarms use the registered names, so these
// stay as they are where a field has another name.
func newEntryMetrics(registry metrics.Registry) *entryMetrics {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("entry."+name, registry)
	}
	gauge := func(name string) metrics.Gauge {
		return metrics.GetOrRegisterGauge("entry."+name, registry)
	}
	return &entryMetrics{
		requests:             counter("requests"),
		done:                 counter("outcome.done"),
		notRun:               counter("outcome.not_run"),
		unknown:              counter("outcome.unknown"),
		responsesCutOff:      counter("answers.broken_off"),
		responsesUndelivered: counter("answers.not_taken"),
		retries:              counter("retries"),
		failedTries:          counter("tries.failed"),
		brokenTries:          counter("tries.broken"),
		suspectsStopped:      counter("suspects.stopped"),
		suspectsRefused:      counter("suspects.refused"),
		aborts:               counter("claims.aborts"),
		unsettled:            counter("claims.unsettled"),
		replays:              counter("claims.replays"),
		renewals:             counter("lease.renewals"),
		lostLeases:           counter("lease.lost"),
		inFlight:             gauge("in_flight"),
		waiting:              gauge("waiting"),
		linkBytes:            gauge("link.bytes"),
		slotWait:             metrics.GetOrRegisterTimer("entry.wait", registry),
	}
}

// countDelivery counts the result of deliverResponse.
func (s *Server) countDelivery(err error) {
	switch {
	case err == nil:
		s.metrics.done.Inc(1)
	case errors.Is(err, errCallerWrite):
		s.metrics.responsesUndelivered.Inc(1)
	default:
		s.metrics.responsesCutOff.Inc(1)
	}
}
