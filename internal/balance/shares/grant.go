package shares

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// slackDivisor sets how far above its target an entry may stay while nobody is
// short.
const slackDivisor = 8

// grant returns what the entry may use from now on and counts it as used.
func (l *Allocator) grant(e *entry, endpoints []*apiv1.Endpoint) []*apiv1.SlotHold {
	now := l.clock.Read()
	granted := make(map[string]int32)
	for _, group := range byService(endpoints) {
		service := group[0].GetService()
		if l.EarlierGrantsExpired() {
			p := newPlan(service, group, l.sorted(), now)
			l.grantService(e, p, granted)
		} else {
			keep(e, group, granted)
		}
		e.noteTurn(service, e.slotsOf(group) > 0, now)
	}
	return l.answer(e, endpoints, granted)
}

// keep grants what the entry holds already.
func keep(e *entry, endpoints []*apiv1.Endpoint, granted map[string]int32) {
	for _, endpoint := range endpoints {
		granted[endpoint.GetId()] = min(e.used[endpoint.GetId()].slots, endpoint.GetSlots())
	}
}

func (l *Allocator) grantService(e *entry, p *plan, granted map[string]int32) {
	for _, region := range p.regions {
		members := shuffled(e.session, p.members[region])
		target := p.targets[e.session][region]
		keep(e, members, granted)
		current := sum(members, granted)
		slack := max(1, target/slackDivisor)
		if p.short || target == 0 {
			slack = 0
		}
		if current > target+slack {
			lower(e, members, granted, current-target)
		}
		if current < target {
			l.raise(e, members, granted, target-current)
		}
	}
}

// lower takes slots back, first where the entry has most, and far away.
func lower(e *entry, members []*apiv1.Endpoint, granted map[string]int32, by int32) {
	for ; by > 0; by-- {
		worst := first(members, func(a, b *apiv1.Endpoint) bool {
			return cost(e, a, granted) > cost(e, b, granted)
		})
		granted[worst.GetId()]--
	}
}

// raise grants free slots, first where the entry has fewest, and near.
func (l *Allocator) raise(e *entry, members []*apiv1.Endpoint, granted map[string]int32, by int32) {
	free := make(map[string]int32, len(members))
	var open []*apiv1.Endpoint
	for _, endpoint := range members {
		left := l.free(endpoint)
		if free[endpoint.GetId()] = min(left.slots, left.connections); free[endpoint.GetId()] > 0 {
			open = append(open, endpoint)
		}
	}
	for by > 0 && len(open) > 0 {
		best := first(open, func(a, b *apiv1.Endpoint) bool {
			costA, costB := cost(e, a, granted), cost(e, b, granted)
			if costA != costB {
				return costA < costB
			}
			return free[a.GetId()] > free[b.GetId()]
		})
		id := best.GetId()
		granted[id]++
		free[id]--
		by--
		if free[id] == 0 {
			open = without(open, best)
		}
	}
}

// cost orders endpoints by how many slots the entry has there, then by
// distance.
func cost(e *entry, endpoint *apiv1.Endpoint, granted map[string]int32) int32 {
	c := 2 * granted[endpoint.GetId()]
	if endpoint.GetLocation().GetFailureDomain() != e.location.GetFailureDomain() {
		c++
	}
	return c
}

// answer counts the grants as used and lists them by endpoint.
func (l *Allocator) answer(e *entry, endpoints []*apiv1.Endpoint, granted map[string]int32) []*apiv1.SlotHold {
	var holds []*apiv1.SlotHold
	for _, endpoint := range endpoints {
		id := endpoint.GetId()
		slots := granted[id]
		if slots <= 0 {
			continue
		}
		connections := l.connections(e, endpoint, slots)
		holds = append(holds, &apiv1.SlotHold{Endpoint: id, Slots: slots, Connections: connections})
		e.used[id] = e.used[id].atLeast(amount{slots, connections})
	}
	sort.Slice(holds, func(i, j int) bool { return holds[i].GetEndpoint() < holds[j].GetEndpoint() })
	return holds
}

// connections returns the entry's part of the endpoint's connections: as many
// for each slot as the endpoint has, as far as they are free.
func (l *Allocator) connections(e *entry, endpoint *apiv1.Endpoint, slots int32) int32 {
	each := max(1, endpoint.GetConnections()/max(1, endpoint.GetSlots()))
	available := l.free(endpoint).connections + e.used[endpoint.GetId()].connections
	return min(slots*each, available)
}

// byService groups the endpoints, in the order of service and id.
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

func sum(members []*apiv1.Endpoint, granted map[string]int32) int32 {
	var total int32
	for _, endpoint := range members {
		total += granted[endpoint.GetId()]
	}
	return total
}

// first returns the endpoint that comes before all others, or the first listed
// of equals.
func first(members []*apiv1.Endpoint, before func(a, b *apiv1.Endpoint) bool) *apiv1.Endpoint {
	best := members[0]
	for _, endpoint := range members[1:] {
		if before(endpoint, best) {
			best = endpoint
		}
	}
	return best
}

func without(members []*apiv1.Endpoint, gone *apiv1.Endpoint) []*apiv1.Endpoint {
	kept := make([]*apiv1.Endpoint, 0, len(members)-1)
	for _, endpoint := range members {
		if endpoint != gone {
			kept = append(kept, endpoint)
		}
	}
	return kept
}

// shuffled orders the endpoints differently for each entry, so that entries
// don't all begin with the same ones.
func shuffled(session string, members []*apiv1.Endpoint) []*apiv1.Endpoint {
	ordered := append([]*apiv1.Endpoint(nil), members...)
	keys := make(map[*apiv1.Endpoint]uint64, len(members))
	for _, endpoint := range members {
		keys[endpoint] = xxhash.Sum64String(session + "\x00" + endpoint.GetId())
	}
	sort.SliceStable(ordered, func(i, j int) bool { return keys[ordered[i]] < keys[ordered[j]] })
	return ordered
}
