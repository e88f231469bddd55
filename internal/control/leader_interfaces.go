package control

import (
	"context"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// PlacementController places tasks on workers and serves the workers' renewals
// while this process leads.
type PlacementController interface {
	apiv1.Platform

	// Run places tasks until ctx ends, which happens when the term ends.
	Run(ctx context.Context) error

	// WaitReasons returns the reasons why tasks of the job wait.
	WaitReasons(job string) []*apiv1.WaitReason
}

// SlotAllocator divides the endpoints' slots among the entries during one term.
type SlotAllocator interface {
	// SetLocation sets the location of an entry session.
	SetLocation(session string, location *apiv1.Location)

	// RenewNumbered records what an entry session holds and demands, and
	// returns what it may hold from now on. Sequence 0 means that the renewal
	// is not numbered.
	RenewNumbered(
		session string,
		sequence uint64,
		holds []*apiv1.SlotHold,
		demand []*apiv1.ServiceDemand,
		endpoints []*apiv1.Endpoint,
	) []*apiv1.SlotHold

	// Expire frees what a session held. It is called once its lease has expired.
	Expire(session string)
}
