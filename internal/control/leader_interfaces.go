package control

import (
	"context"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// PlacementController places tasks and serves the workers while this process leads.
type PlacementController interface {
	apiv1.Platform

	// Run places until ctx ends, which is when the term ends.
	Run(ctx context.Context) error

	// Waits says why tasks of the job wait.
	Waits(job string) []*apiv1.WaitReason
}

// SlotAllocator divides the endpoints' slots among the entries of one term.
type SlotAllocator interface {
	// Locate notes where an entry session runs.
	Locate(session string, location *apiv1.Location)

	// RenewInSequence notes what an entry session holds and wants, and returns
	// what it may hold from now on. Sequence 0 means not numbered.
	RenewInSequence(
		session string,
		sequence uint64,
		holds []*apiv1.SlotHold,
		demand []*apiv1.ServiceDemand,
		endpoints []*apiv1.Endpoint,
	) []*apiv1.SlotHold

	// Expire frees what a session held, once its lease has run out.
	Expire(session string)
}
