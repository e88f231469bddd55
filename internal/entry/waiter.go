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
	}
}
