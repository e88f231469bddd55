package shares

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// amount is a number of slots and connections of one endpoint.
type amount struct {
	slots       int32
	connections int32
}

func (a amount) atLeast(b amount) amount {
	return amount{max(a.slots, b.slots), max(a.connections, b.connections)}
}

// entry is the account of one entry's session.
type entry struct {
	session  string
	location *apiv1.Location
	sequence uint64
	demand   map[string]int32  // by service: requests in flight and waiting
	turns    map[string]turn   // by service
	used     map[string]amount // by endpoint: the most that it may be using
}

func newEntry(session string) *entry {
	return &entry{
		session: session,
		demand:  make(map[string]int32),
		turns:   make(map[string]turn),
		used:    make(map[string]amount),
	}
}

func (e *entry) region() string {
	return e.location.GetRegion()
}

func (e *entry) setDemand(demand []*apiv1.ServiceDemand) {
	clear(e.demand)
	for _, d := range demand {
		e.demand[d.GetService()] += max(0, d.GetInFlight()) + max(0, d.GetWaiting())
	}
}

// addUsed counts what the entry reports that it may use. What was granted in
// answer to an earlier copy of the same request stays counted.
func (e *entry) addUsed(holds []*apiv1.SlotHold) {
	for _, hold := range holds {
		reported := amount{max(0, hold.GetSlots()), max(0, hold.GetConnections())}
		e.used[hold.GetEndpoint()] = e.used[hold.GetEndpoint()].atLeast(reported)
	}
}

// slotsOf sums the slots that the entry may be using of the endpoints.
func (e *entry) slotsOf(endpoints []*apiv1.Endpoint) int32 {
	var sum int32
	for _, endpoint := range endpoints {
		sum += e.used[endpoint.GetId()].slots
	}
	return sum
}
