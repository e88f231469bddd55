package balance

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Holds returns what this entry may be using of each endpoint: the grant, or
// what is in flight where that is more. Open connections are counted by the
// given function.
func (p *Pool) Holds(open func(endpoint string) int) []*apiv1.SlotHold {
	p.mu.Lock()
	defer p.mu.Unlock()
	var holds []*apiv1.SlotHold
	for _, b := range p.order {
		id := b.endpoint.GetId()
		hold := &apiv1.SlotHold{
			Endpoint:    id,
			Slots:       int32(max(b.slots, b.inFlight)),
			Connections: int32(max(b.connections, open(id))),
		}
		if hold.GetSlots() > 0 || hold.GetConnections() > 0 {
			holds = append(holds, hold)
		}
	}
	return holds
}

// Usage sums up a pool.
type Usage struct {
	Slots     int // granted
	InFlight  int
	Endpoints int // with a grant
	Ejected   int
}

// Usage returns the pool's present sums.
func (p *Pool) Usage(now time.Time) Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	var usage Usage
	for _, b := range p.order {
		usage.Slots += b.slots
		usage.InFlight += b.inFlight
		if b.slots > 0 {
			usage.Endpoints++
		}
		if b.ejected(now) {
			usage.Ejected++
		}
	}
	return usage
}

// GrantedConnections returns how many connections each endpoint was granted, by id.
func (p *Pool) GrantedConnections() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	granted := make(map[string]int, len(p.order))
	for _, b := range p.order {
		granted[b.endpoint.GetId()] = b.connections
	}
	return granted
}
