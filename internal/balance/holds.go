package balance

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Holds returns the slots and connections that this entry may be using of each
// endpoint: the granted count, or the count in use if that is higher. openConnections
// must return the count of open connections to the endpoint with the given id.
func (p *Pool) Holds(openConnections func(endpoint string) int) []*apiv1.SlotHold {
	p.mu.Lock()
	defer p.mu.Unlock()
	var holds []*apiv1.SlotHold
	for _, e := range p.sorted {
		id := e.endpoint.GetId()
		hold := &apiv1.SlotHold{
			Endpoint:    id,
			Slots:       int32(max(e.grantedSlots, e.inFlight)),
			Connections: int32(max(e.grantedConnections, openConnections(id))),
		}
		if hold.GetSlots() > 0 || hold.GetConnections() > 0 {
			holds = append(holds, hold)
		}
	}
	return holds
}

// Usage holds the totals of a pool.
type Usage struct {
	Slots     int // granted slots
	InFlight  int // requests
	Endpoints int // endpoints with granted slots
	Ejected   int // ejected endpoints
}

// Usage returns the pool's totals at the given time.
func (p *Pool) Usage(now time.Time) Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	var usage Usage
	for _, e := range p.sorted {
		usage.Slots += e.grantedSlots
		usage.InFlight += e.inFlight
		if e.grantedSlots > 0 {
			usage.Endpoints++
		}
		if e.ejected(now) {
			usage.Ejected++
		}
	}
	return usage
}

// GrantedConnections returns the granted connections by endpoint id.
func (p *Pool) GrantedConnections() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	granted := make(map[string]int, len(p.sorted))
	for _, e := range p.sorted {
		granted[e.endpoint.GetId()] = e.grantedConnections
	}
	return granted
}
