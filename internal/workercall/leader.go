package workercall

import (
	"context"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Leader grants leases and orders to workers.
type Leader interface {
	// Renew applies a worker's reports, renews its lease and waits for orders. It
	// returns ErrNotLeader, ErrSuperseded, ErrLeaseEnding or the error of ctx.
	Renew(ctx context.Context, renewal *Renewal) (*Grant, error)
}

// Renewal is a worker's report on itself and its attempts.
type Renewal struct {
	Worker     *apiv1.Worker
	Reports    []*apiv1.AttemptReport // all attempts of this boot that the worker knows of
	Usage      resources.Amount       // measured, lags behind
	MaxWait    time.Duration          // how long to wait for a change of orders
	OrdersSeen uint64                 // revision of the last orders received
}

// Grant is the leader's response to a renewal.
type Grant struct {
	LeaseLength     time.Duration // counted from when the renewal was sent; 0: no lease yet
	OrdersRevision  uint64
	OrdersUnchanged bool // Orders is omitted: the worker has seen this revision
	Orders          []*apiv1.Order
	Acknowledged    []string // ended attempts that the worker need not report again
}
