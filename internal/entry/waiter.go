package entry

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/balance"
)

// waiter is a request that acquires a slot and may be queued for it.
type waiter struct {
	class       apiv1.Class
	caller      string
	deadline    time.Time
	queuedAt    time.Time
	avoid       map[string]bool // endpoints already tried, by id
	avoidDomain string          // failure domain to avoid if possible
	suspect     string          // identity of a request that may have crashed an endpoint; empty: none

	isolateUntil time.Time // until then a suspect waits for an endpoint without other suspects

	granted chan *balance.Slot // receives the slot; capacity 1; closed when the waiter is shed
}

func newWaiter(class apiv1.Class, caller string, deadline, now time.Time) *waiter {
	return &waiter{
		class:    class,
		caller:   caller,
		deadline: deadline,
		queuedAt: now,
		granted:  make(chan *balance.Slot, 1),
	}
}

// slotRequest returns the constraints on the choice of an endpoint.
func (w *waiter) slotRequest(now time.Time, spillAfter time.Duration) balance.Request {
	return balance.Request{
		AllowOtherRegion: now.Sub(w.queuedAt) >= spillAfter,
		Avoid:            w.avoid,
		AvoidDomain:      w.avoidDomain,
		Suspect:          w.suspect,
		Isolate:          now.Before(w.isolateUntil),
	}
}

// suspectQueueSuffix is appended to a caller's name for its suspects. They have a
// queue of their own, since one that waits for an endpoint without other suspects
// must not hold up the caller's other requests.
const suspectQueueSuffix = "\x00suspect"

// markSuspect makes the waiter a suspect with the identity. For half of the time
// left it waits for an endpoint without other suspects; beside them is better than
// not at all. It must not be called while the waiter holds a slot.
func (w *waiter) markSuspect(identity string, now time.Time) {
	if w.suspect == "" {
		w.caller += suspectQueueSuffix
	}
	w.suspect = identity
	w.isolateUntil = now.Add(w.deadline.Sub(now) / 2)
}
