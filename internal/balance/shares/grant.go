package shares

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// slackDivisor sets the slots above its target that an entry may keep while there is no
// shortage: target/slackDivisor, at least one.
const slackDivisor = 8

// renewGrants returns what the entry may use from now on and records it as used.
func (al *Allocator) renewGrants(e *entry, endpoints []*apiv1.Endpoint) []*apiv1.SlotHold {
	now := al.clock.Read()
	granted := make(map[string]int32)
	for _, group := range byService(endpoints) {
		service := group[0].GetService()
		if al.EarlierGrantsExpired() {
			p := newPlan(service, group, al.sortedEntries(), now)
			al.grantService(e, p, granted)
		} else {
			keepHeld(e, group, granted)
		}
		e.updateHoldState(service, e.slotsUsed(group) > 0, now)
	}
	return al.recordGrants(e, endpoints, granted)
}

// keepHeld grants the slots that the entry holds already.
func keepHeld(e *entry, endpoints []*apiv1.Endpoint, granted map[string]int32) {
	for _, endpoint := range endpoints {
		granted[endpoint.GetId()] = min(e.maxUsed[endpoint.GetId()].slots, endpoint.GetSlots())
	}
}

// grantService moves the entry's slots of one service toward the targets of the plan.
func (al *Allocator) grantService(e *entry, p *plan, granted map[string]int32) {
	for _, region := range p.regions {
		regionEndpoints := shuffled(e.session, p.regionEndpoints[region])
		target := p.targets[e.session][region]
		keepHeld(e, regionEndpoints, granted)
		current := sumGrants(regionEndpoints, granted)
		slack := max(1, target/slackDivisor)
		if p.shortage || target == 0 {
			slack = 0
		}
		if current > target+slack {
			reduceGrants(e, regionEndpoints, granted, current-target)
		}
		if current < target {
			al.increaseGrants(e, regionEndpoints, granted, target-current)
		}
	}
}

// reduceGrants revokes slots, first where the entry has most and in other failure
// domains.
func reduceGrants(e *entry, endpoints []*apiv1.Endpoint, granted map[string]int32, count int32) {
	for ; count > 0; count-- {
		worst := minBy(endpoints, func(a, b *apiv1.Endpoint) bool {
			return grantCost(e, a, granted) > grantCost(e, b, granted)
		})
		granted[worst.GetId()]--
	}
}

// increaseGrants grants free slots, first where the entry has fewest and in its own
// failure domain. Each slot needs a free connection.
func (al *Allocator) increaseGrants(e *entry, endpoints []*apiv1.Endpoint, granted map[string]int32, count int32) {
	free := make(map[string]int32, len(endpoints))
	var available []*apiv1.Endpoint
	for _, endpoint := range endpoints {
		left := al.free(endpoint)
		if free[endpoint.GetId()] = min(left.slots, left.connections); free[endpoint.GetId()] > 0 {
			available = append(available, endpoint)
		}
	}
	for count > 0 && len(available) > 0 {
		best := minBy(available, func(a, b *apiv1.Endpoint) bool {
			costA, costB := grantCost(e, a, granted), grantCost(e, b, granted)
			if costA != costB {
				return costA < costB
			}
			return free[a.GetId()] > free[b.GetId()]
		})
		id := best.GetId()
		granted[id]++
		free[id]--
		count--
		if free[id] == 0 {
			available = exclude(available, best)
		}
	}
}

// grantCost orders endpoints by the slots that the entry has there. On equal counts, the
// entry's own failure domain comes first.
func grantCost(e *entry, endpoint *apiv1.Endpoint, granted map[string]int32) int32 {
	cost := 2 * granted[endpoint.GetId()]
	if endpoint.GetLocation().GetFailureDomain() != e.location.GetFailureDomain() {
		cost++
	}
	return cost
}

// recordGrants records the grants as used and returns them sorted by endpoint id.
func (al *Allocator) recordGrants(e *entry, endpoints []*apiv1.Endpoint, granted map[string]int32) []*apiv1.SlotHold {
	var holds []*apiv1.SlotHold
	for _, endpoint := range endpoints {
		id := endpoint.GetId()
		slots := granted[id]
		if slots <= 0 {
			continue
		}
		connections := al.connections(e, endpoint, slots)
		holds = append(holds, &apiv1.SlotHold{Endpoint: id, Slots: slots, Connections: connections})
		e.maxUsed[id] = e.maxUsed[id].maxOf(amount{slots, connections})
	}
	sort.Slice(holds, func(i, j int) bool { return holds[i].GetEndpoint() < holds[j].GetEndpoint() })
	return holds
}

// connections returns the connections to grant with the given slots: the endpoint's
// ratio of connections to slots, limited to free connections and those of the entry.
func (al *Allocator) connections(e *entry, endpoint *apiv1.Endpoint, slots int32) int32 {
	perSlot := max(1, endpoint.GetConnections()/max(1, endpoint.GetSlots()))
	available := al.free(endpoint).connections + e.maxUsed[endpoint.GetId()].connections
	return min(slots*perSlot, available)
}

// byService groups the endpoints by service. Groups are sorted by service, endpoints by
// id.
func byService(endpoints []*apiv1.Endpoint) [][]*apiv1.Endpoint {
	ordered := append([]*apiv1.Endpoint(nil), endpoints...)
	sort.Slice(ordered, func(i, j int) bool {
		if ordered[i].GetService() != ordered[j].GetService() {
			return ordered[i].GetService() < ordered[j].GetService()
		}
		return ordered[i].GetId() < ordered[j].GetId()
	})
	var groups [][]*apiv1.Endpoint
	for i, endpoint := range ordered {
		if i == 0 || ordered[i-1].GetService() != endpoint.GetService() {
			groups = append(groups, nil)
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], endpoint)
	}
	return groups
}

func sumGrants(endpoints []*apiv1.Endpoint, granted map[string]int32) int32 {
	var total int32
	for _, endpoint := range endpoints {
		total += granted[endpoint.GetId()]
	}
	return total
}

// minBy returns the least endpoint in the given order, the first of the list among equal
// ones. The list must not be empty.
func minBy(endpoints []*apiv1.Endpoint, before func(a, b *apiv1.Endpoint) bool) *apiv1.Endpoint {
	best := endpoints[0]
	for _, endpoint := range endpoints[1:] {
		if before(endpoint, best) {
			best = endpoint
		}
	}
	return best
}

// exclude returns a copy of the list without one of its endpoints.
func exclude(endpoints []*apiv1.Endpoint, excluded *apiv1.Endpoint) []*apiv1.Endpoint {
	kept := make([]*apiv1.Endpoint, 0, len(endpoints)-1)
	for _, endpoint := range endpoints {
		if endpoint != excluded {
			kept = append(kept, endpoint)
		}
	}
	return kept
}

// shuffled returns the endpoints in an order that depends on the entry's session, so
// that entries don't all use the same endpoints first.
func shuffled(session string, endpoints []*apiv1.Endpoint) []*apiv1.Endpoint {
	ordered := append([]*apiv1.Endpoint(nil), endpoints...)
	keys := make(map[*apiv1.Endpoint]uint64, len(endpoints))
	for _, endpoint := range endpoints {
		keys[endpoint] = xxhash.Sum64String(session + "\x00" + endpoint.GetId())
	}
	sort.SliceStable(ordered, func(i, j int) bool { return keys[ordered[i]] < keys[ordered[j]] })
	return ordered
}
