package balance

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	slowStart        = 5 * time.Second
	smoothing        = 0.1 // weight of the newest sample
	ejectAfter       = 5   // failures in a row
	firstEjection    = time.Second
	longestEjection  = 30 * time.Second
	mostEjectedShare = 2 // at most one in so many may be ejected
)

// backend is one endpoint as this entry's pool sees it.
type backend struct {
	endpoint    *apiv1.Endpoint
	proximity   Proximity
	slots       int // granted
	connections int // granted
	inFlight    int
	since       time.Time // first seen, or back from an ejection
	latency     time.Duration
	failures    float64 // smoothed share
	inRow       int     // failures in a row
	ejections   int     // in a row
	ejectedTo   time.Time
	gone        bool
}

// room returns how many requests may be in flight at once at present: the
// granted slots, fewer while the endpoint is new.
func (b *backend) room(now time.Time) int {
	age := now.Sub(b.since)
	if b.slots <= 1 || age >= slowStart {
		return b.slots
	}
	return max(1, int(float64(b.slots)*age.Seconds()/slowStart.Seconds()))
}

func (b *backend) ejected(now time.Time) bool {
	return now.Before(b.ejectedTo)
}

// hasRoom reports whether the backend can take one more request.
func (b *backend) hasRoom(now time.Time) bool {
	return !b.gone && b.inFlight < b.room(now)
}

func (b *backend) candidate() Candidate {
	return Candidate{
		ID:          b.endpoint.GetId(),
		Proximity:   b.proximity,
		Slots:       b.slots,
		InFlight:    b.inFlight,
		Latency:     b.latency,
		FailureRate: b.failures,
	}
}

// note takes the result of one request into account.
func (b *backend) note(result Result) {
	failed := 0.0
	if result.Failed {
		failed = 1
		b.inRow++
	} else {
		b.inRow, b.ejections = 0, 0
		b.latency = smooth(b.latency, result.Latency)
	}
	b.failures += smoothing * (failed - b.failures)
}

func (b *backend) eject(now time.Time) {
	length := min(longestEjection, firstEjection<<min(b.ejections, 10))
	b.ejections++
	b.inRow = 0
	b.ejectedTo = now.Add(length)
	b.since = b.ejectedTo
}

// restart forgets what was measured at an earlier address. Requests in flight
// there still count.
func (b *backend) restart(now time.Time, endpoint *apiv1.Endpoint) {
	b.endpoint = endpoint
	b.since = now
	b.latency, b.failures = 0, 0
	b.inRow, b.ejections = 0, 0
	b.ejectedTo = time.Time{}
}

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothing*float64(sample-old))
}
