package balance

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	slowStartPeriod    = 5 * time.Second
	smoothingFactor    = 0.1         // weight of the newest sample in a moving average
	ejectAfterFailures = 5           // consecutive failures
	baseEjectionTime   = time.Second // doubled by each consecutive ejection
	maxEjectionTime    = 30 * time.Second
	maxEjectedDivisor  = 2 // at most 1/2 of the granted endpoints may be ejected
)

// endpointState holds the grants, load and health of one endpoint, as seen by this
// entry. It is guarded by Pool.mu.
type endpointState struct {
	endpoint             *apiv1.Endpoint
	proximity            Proximity
	grantedSlots         int
	grantedConnections   int
	inFlight             int            // requests of this entry
	suspects             map[string]int // those of inFlight that may have crashed an endpoint, by Request.Suspect
	availableSince       time.Time      // start of the slow start: first seen, or end of the last ejection
	latency              time.Duration  // moving average; 0: not measured
	failureRate          float64        // moving average, 0 to 1
	consecutiveFailures  int
	consecutiveEjections int // reset by a success
	ejectedUntil         time.Time
	removed              bool // no longer announced
}

// slotLimit returns how many requests may be in flight at once: the granted slots,
// reduced during the slow start.
func (e *endpointState) slotLimit(now time.Time) int {
	age := now.Sub(e.availableSince)
	if e.grantedSlots <= 1 || age >= slowStartPeriod {
		return e.grantedSlots
	}
	return max(1, int(float64(e.grantedSlots)*age.Seconds()/slowStartPeriod.Seconds()))
}

// ejected reports whether the endpoint is ejected at the given time.
func (e *endpointState) ejected(now time.Time) bool {
	return now.Before(e.ejectedUntil)
}

// hasFreeSlot reports whether the endpoint can take one more request.
func (e *endpointState) hasFreeSlot(now time.Time) bool {
	return !e.removed && e.inFlight < e.slotLimit(now)
}

// candidate returns the view of the endpoint that is passed to a Policy.
func (e *endpointState) candidate() Candidate {
	return Candidate{
		ID:          e.endpoint.GetId(),
		Proximity:   e.proximity,
		Slots:       e.grantedSlots,
		InFlight:    e.inFlight,
		Latency:     e.latency,
		FailureRate: e.failureRate,
	}
}

// record updates the moving averages and failure counts with a request's result.
func (e *endpointState) record(result Result) {
	failed := 0.0
	if result.Failed {
		failed = 1
		e.consecutiveFailures++
	} else {
		e.consecutiveFailures, e.consecutiveEjections = 0, 0
		e.latency = smooth(e.latency, result.Latency)
	}
	e.failureRate += smoothingFactor * (failed - e.failureRate)
}

// eject excludes the endpoint for a time that doubles with each consecutive
// ejection, up to maxEjectionTime. A slow start follows.
func (e *endpointState) eject(now time.Time) {
	length := min(maxEjectionTime, baseEjectionTime<<min(e.consecutiveEjections, 10))
	e.consecutiveEjections++
	e.consecutiveFailures = 0
	e.ejectedUntil = now.Add(length)
	e.availableSince = e.ejectedUntil
}

// reset drops the measurements of an earlier address. Requests in flight there still
// count.
func (e *endpointState) reset(now time.Time, endpoint *apiv1.Endpoint) {
	e.endpoint = endpoint
	e.availableSince = now
	e.latency, e.failureRate = 0, 0
	e.consecutiveFailures, e.consecutiveEjections = 0, 0
	e.ejectedUntil = time.Time{}
}

// smooth returns the exponentially weighted moving average. An old value of 0 means
// that there was no sample before.
func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothingFactor*float64(sample-old))
}
