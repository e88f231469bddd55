package workercall

import (
	"context"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Leader grants leases and orders to workers.
type Leader interface {
	// Renew takes a worker's word and waits for orders. Errors: ErrNotLeader,
	// ErrSuperseded, ErrLeaseEnding, or ctx's.
	Renew(ctx context.Context, renewal *Renewal) (*Grant, error)
}

// Renewal is a worker's word on itself.
type Renewal struct {
	Worker     *apiv1.Worker
	Reports    []*apiv1.AttemptReport // every attempt that the worker knows of this boot
	Usage      resources.Amount       // measured, with a lag
	MaxWait    time.Duration          // for a change of orders
	OrdersSeen uint64                 // revision of the last orders received
}

// Grant is the leader's answer.
type Grant struct {
	LeaseLength     time.Duration // from when the renewal was sent; zero: none yet
	OrdersRevision  uint64
	OrdersUnchanged bool // Orders is left out: the revision has been seen
	Orders          []*apiv1.Order
	Acknowledged    []string // ended attempts that the worker may forget
}
