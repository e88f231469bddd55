package shares

import (
	"math"
	"sort"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
)

// Fraction of the slots left after all needs are met that is granted in advance. The
// rest is reserved for entries that join or need more.
const (
	spareNumerator   = 3
	spareDenominator = 4
)

// plan is the division of one service's slots among the entries.
type plan struct {
	service         string
	regions         []string                     // sorted
	regionEndpoints map[string][]*apiv1.Endpoint // by region, sorted by id
	targets         map[string]map[string]int32  // slots by session and region
	shortage        bool                         // some entry holds less than is allocated for its needs
}

// neededSlots returns the slots that the entry needs for its current requests to a
// service. Every entry needs at least one.
func (e *entry) neededSlots(service string) int32 {
	return max(1, e.demand[service])
}

// headroom returns the additional slots that new requests will likely need before the
// next renewal: about one standard deviation of a random (Poisson) demand.
func (e *entry) headroom(service string) int32 {
	return 1 + int32(math.Sqrt(float64(e.demand[service])))
}

// newPlan divides a service's slots. The slots of each region first serve the requests
// of the region's own entries, then their headroom, then the unmet needs of entries
// elsewhere. Most of what is left goes to the region's own entries.
func newPlan(service string, endpoints []*apiv1.Endpoint, entries []*entry, now clock.Reading) *plan {
	p := &plan{
		service:         service,
		regionEndpoints: make(map[string][]*apiv1.Endpoint),
		targets:         make(map[string]map[string]int32),
	}
	for _, endpoint := range endpoints {
		region := endpoint.GetLocation().GetRegion()
		p.regionEndpoints[region] = append(p.regionEndpoints[region], endpoint)
	}
	for region := range p.regionEndpoints {
		p.regions = append(p.regions, region)
	}
	sort.Strings(p.regions)
	p.divide(sortForRotation(entries, service, now))
	return p
}

// divide sets the targets and the shortage. Entries that come first in the list get what
// can't be divided equally.
func (p *plan) divide(entries []*entry) {
	unmet := make(map[string]int32)
	for _, e := range entries {
		unmet[e.session] = e.neededSlots(p.service)
		p.targets[e.session] = make(map[string]int32)
	}
	left := make(map[string]int32)
	for _, region := range p.regions {
		left[region] = p.allocate(region, p.capacity(region), inRegion(entries, region), unmet)
	}
	for _, e := range entries {
		unmet[e.session] += e.headroom(p.service)
	}
	for _, region := range p.regions {
		left[region] = p.allocate(region, left[region], inRegion(entries, region), unmet)
	}
	for _, region := range p.regions {
		left[region] = p.allocate(region, left[region], entries, unmet)
	}
	p.shortage = hasShortage(p, entries)
	for _, region := range p.regions {
		p.allocateSpare(region, left[region], entries)
	}
}

// allocate divides an amount of a region's slots among the unmet needs of the entries,
// which it reduces. It returns what is left.
func (p *plan) allocate(region string, amount int32, entries []*entry, unmet map[string]int32) int32 {
	allocations := make([]*allocation, len(entries))
	for i, e := range entries {
		allocations[i] = &allocation{need: unmet[e.session]}
	}
	amount = divideMaxMin(amount, allocations)
	for i, e := range entries {
		p.targets[e.session][region] += allocations[i].granted
		unmet[e.session] = allocations[i].need
	}
	return amount
}

// allocateSpare grants most of the slots that no entry needs in advance: to the region's
// own entries, or to all entries if it has none.
func (p *plan) allocateSpare(region string, amount int32, entries []*entry) {
	if local := inRegion(entries, region); len(local) > 0 {
		entries = local
	}
	if len(entries) == 0 {
		return
	}
	perEntry := amount * spareNumerator / spareDenominator / int32(len(entries))
	for _, e := range entries {
		p.targets[e.session][region] += perEntry
	}
}

// capacity returns the sum of the slots in a region.
func (p *plan) capacity(region string) int32 {
	var sum int32
	for _, endpoint := range p.regionEndpoints[region] {
		sum += max(0, endpoint.GetSlots())
	}
	return sum
}

// hasShortage reports whether some entry holds fewer slots than the plan allocates for
// its needs.
func hasShortage(p *plan, entries []*entry) bool {
	for _, e := range entries {
		var held, allocated int32
		for _, region := range p.regions {
			held += e.slotsUsed(p.regionEndpoints[region])
			allocated += p.targets[e.session][region]
		}
		if held < allocated {
			return true
		}
	}
	return false
}

// inRegion returns the entries that are located in a region.
func inRegion(entries []*entry, region string) []*entry {
	var found []*entry
	for _, e := range entries {
		if e.region() == region {
			found = append(found, e)
		}
	}
	return found
}
