package entry

import (
	"sync"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/balance"
)

// upstreams holds the connection pools of all endpoints. It is safe for
// concurrent use.
type upstreams struct {
	location *apiv1.Location     // of the entry
	link     *balance.LinkBudget // between the regions

	mu   sync.Mutex
	byID map[string]*upstream // by endpoint id
}

func newUpstreams(location *apiv1.Location, link *balance.LinkBudget) *upstreams {
	return &upstreams{location: location, link: link, byID: make(map[string]*upstream)}
}

// update creates, limits and removes pools according to the view's endpoints and
// grants. An endpoint that moved to another address gets a new pool.
func (u *upstreams) update(v *view) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, endpoint := range v.endpoints {
		pool, ok := u.byID[id]
		if !ok || pool.address != endpoint.GetAddress() {
			if ok {
				pool.closeIdle()
			}
			pool = newUpstream(endpoint.GetAddress(), u.linkFor(endpoint))
			u.byID[id] = pool
		}
		pool.setLimit(int(v.grants[id].GetConnections()))
	}
	for id, pool := range u.byID {
		if _, ok := v.endpoints[id]; !ok {
			pool.closeIdle()
			delete(u.byID, id)
		}
	}
}

// linkFor returns the link that traffic to the endpoint is charged to; nil within
// the region.
func (u *upstreams) linkFor(endpoint *apiv1.Endpoint) *balance.LinkBudget {
	if balance.ProximityOf(u.location, endpoint.GetLocation()) == balance.OtherRegion {
		return u.link
	}
	return nil
}

// get returns the pool of the slot's endpoint, or nil if the endpoint has left
// or moved to another address since the slot was acquired.
func (u *upstreams) get(slot *balance.Slot) *upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	pool := u.byID[slot.ID]
	if pool == nil || pool.address != slot.Address {
		return nil
	}
	return pool
}

// openConnections returns the number of an endpoint's open connections.
func (u *upstreams) openConnections(id string) int {
	u.mu.Lock()
	pool := u.byID[id]
	u.mu.Unlock()
	if pool == nil {
		return 0
	}
	return pool.openCount()
}

// closeAllIdle closes all idle connections.
func (u *upstreams) closeAllIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, pool := range u.byID {
		pool.closeIdle()
	}
}
