package shares

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// amount is a count of slots and connections of one endpoint.
type amount struct {
	slots       int32
	connections int32
}

// maxOf returns the larger count of each kind.
func (a amount) maxOf(b amount) amount {
	return amount{max(a.slots, b.slots), max(a.connections, b.connections)}
}

// entry holds the demand and the usage of one entry session.
type entry struct {
	session    string
	location   *apiv1.Location
	sequence   uint64               // of the newest renewal; 0: not numbered
	demand     map[string]int32     // by service: requests in flight and queued
	holdStates map[string]holdState // by service
	maxUsed    map[string]amount    // by endpoint id: upper bound of what it may be using
}

func newEntry(session string) *entry {
	return &entry{
		session:    session,
		demand:     make(map[string]int32),
		holdStates: make(map[string]holdState),
		maxUsed:    make(map[string]amount),
	}
}

func (e *entry) region() string {
	return e.location.GetRegion()
}

// setDemand replaces the demand of all services.
func (e *entry) setDemand(demand []*apiv1.ServiceDemand) {
	clear(e.demand)
	for _, d := range demand {
		e.demand[d.GetService()] += max(0, d.GetInFlight()) + max(0, d.GetWaiting())
	}
}

// recordHolds adds what the entry reports to hold. Grants in the response to an earlier
// copy of the same request still count.
func (e *entry) recordHolds(holds []*apiv1.SlotHold) {
	for _, hold := range holds {
		reported := amount{max(0, hold.GetSlots()), max(0, hold.GetConnections())}
		e.maxUsed[hold.GetEndpoint()] = e.maxUsed[hold.GetEndpoint()].maxOf(reported)
	}
}

// slotsUsed returns the sum of the slots that the entry may be using.
func (e *entry) slotsUsed(endpoints []*apiv1.Endpoint) int32 {
	var sum int32
	for _, endpoint := range endpoints {
		sum += e.maxUsed[endpoint.GetId()].slots
	}
	return sum
}
