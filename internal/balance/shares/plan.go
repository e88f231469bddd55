package shares

import (
	"math"
	"sort"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
)

// Parts of what is left after all needs are met that is granted in advance.
// The rest is kept for entries that come or want more.
const (
	spareNumerator   = 3
	spareDenominator = 4
)

// plan is how one service's slots shall be divided.
type plan struct {
	service string
	regions []string                     // sorted
	members map[string][]*apiv1.Endpoint // by region, sorted by id
	targets map[string]map[string]int32  // by session and region: slots
	short   bool                         // some entry holds less than it needs
}

// wants returns the slots that the entry needs of a service for the requests
// that it has. Every entry wants one.
func (e *entry) wants(service string) int32 {
	return max(1, e.demand[service])
}

// headroom returns the slots that new requests will likely need before the
// next renewal: about one standard deviation of a random demand.
func (e *entry) headroom(service string) int32 {
	return 1 + int32(math.Sqrt(float64(e.demand[service])))
}

// newPlan divides a service's slots: first each region's among its own
// entries' requests, then among their headroom, then what is left among unmet
// needs elsewhere, then most of the rest among the region's own entries.
func newPlan(service string, endpoints []*apiv1.Endpoint, entries []*entry, now clock.Reading) *plan {
	p := &plan{
		service: service,
		members: make(map[string][]*apiv1.Endpoint),
		targets: make(map[string]map[string]int32),
	}
	for _, endpoint := range endpoints {
		region := endpoint.GetLocation().GetRegion()
		p.members[region] = append(p.members[region], endpoint)
	}
	for region := range p.members {
		p.regions = append(p.regions, region)
	}
	sort.Strings(p.regions)
	p.divide(byTurn(entries, service, now))
	return p
}

func (p *plan) divide(entries []*entry) {
	unmet := make(map[string]int32)
	for _, e := range entries {
		unmet[e.session] = e.wants(p.service)
		p.targets[e.session] = make(map[string]int32)
	}
	left := make(map[string]int32)
	for _, region := range p.regions {
		left[region] = p.give(region, p.capacity(region), local(entries, region), unmet)
	}
	for _, e := range entries {
		unmet[e.session] += e.headroom(p.service)
	}
	for _, region := range p.regions {
		left[region] = p.give(region, left[region], local(entries, region), unmet)
	}
	for _, region := range p.regions {
		left[region] = p.give(region, left[region], entries, unmet)
	}
	p.short = isShort(p, entries)
	for _, region := range p.regions {
		p.spread(region, left[region], entries)
	}
}

// give divides an amount of a region's slots by unmet needs and returns what
// is left.
func (p *plan) give(region string, amount int32, entries []*entry, unmet map[string]int32) int32 {
	claims := make([]*claim, len(entries))
	for i, e := range entries {
		claims[i] = &claim{need: unmet[e.session]}
	}
	amount = fill(amount, claims)
	for i, e := range entries {
		p.targets[e.session][region] += claims[i].got
		unmet[e.session] = claims[i].need
	}
	return amount
}

// spread grants most of what nobody needs in advance: to the region's own
// entries, or to all if it has none.
func (p *plan) spread(region string, amount int32, entries []*entry) {
	if near := local(entries, region); len(near) > 0 {
		entries = near
	}
	if len(entries) == 0 {
		return
	}
	each := amount * spareNumerator / spareDenominator / int32(len(entries))
	for _, e := range entries {
		p.targets[e.session][region] += each
	}
}

func (p *plan) capacity(region string) int32 {
	var sum int32
	for _, endpoint := range p.members[region] {
		sum += max(0, endpoint.GetSlots())
	}
	return sum
}

// isShort reports whether an entry may use less than was set aside for its
// need.
func isShort(p *plan, entries []*entry) bool {
	for _, e := range entries {
		var has, set int32
		for _, region := range p.regions {
			has += e.slotsOf(p.members[region])
			set += p.targets[e.session][region]
		}
		if has < set {
			return true
		}
	}
	return false
}

// local returns the entries of a region.
func local(entries []*entry, region string) []*entry {
	var found []*entry
	for _, e := range entries {
		if e.region() == region {
			found = append(found, e)
		}
	}
	return found
}
