package control

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// grantsDiffer reports whether two lists of grants differ in the slots or
// connections of any endpoint.
func grantsDiffer(before, after []*apiv1.SlotHold) bool {
	if len(before) != len(after) {
		return true
	}
	known := holdsByEndpoint(before)
	for _, hold := range after {
		old, ok := known[hold.GetEndpoint()]
		if !ok || old.GetSlots() != hold.GetSlots() || old.GetConnections() != hold.GetConnections() {
			return true
		}
	}
	return false
}

// grantsExceedHolds reports whether a grant is above what the entry holds, for example
// because the response that carried the grant was lost.
func grantsExceedHolds(holds, granted []*apiv1.SlotHold) bool {
	held := holdsByEndpoint(holds)
	for _, grant := range granted {
		hold := held[grant.GetEndpoint()]
		if grant.GetSlots() > hold.GetSlots() || grant.GetConnections() > hold.GetConnections() {
			return true
		}
	}
	return false
}

// isStarved reports whether an entry without any grant has waiting requests for a
// service and none of that service in flight.
func isStarved(demand []*apiv1.ServiceDemand, granted []*apiv1.SlotHold) bool {
	for _, d := range demand {
		if d.GetWaiting() > 0 && d.GetInFlight() == 0 {
			return len(granted) == 0
		}
	}
	return false
}

func holdsByEndpoint(holds []*apiv1.SlotHold) map[string]*apiv1.SlotHold {
	byEndpoint := make(map[string]*apiv1.SlotHold, len(holds))
	for _, hold := range holds {
		byEndpoint[hold.GetEndpoint()] = hold
	}
	return byEndpoint
}
