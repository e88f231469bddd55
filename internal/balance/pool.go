package balance

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Pool is what one entry may use of one service's endpoints. It is safe for
// concurrent use.
type Pool struct {
	location *apiv1.Location
	policy   Policy
	link     *LinkBudget

	mu       sync.Mutex
	random   *rand.Rand
	backends map[string]*backend
	order    []*backend // by id
	buffer   []Candidate
	chosen   []*backend
	healthy  bool // not all granted endpoints are ejected
}

// NewPool returns an empty pool of an entry at the given location.
func NewPool(location *apiv1.Location, policy Policy, link *LinkBudget, seed uint64) *Pool {
	return &Pool{
		location: location,
		policy:   policy,
		link:     link,
		random:   rand.New(rand.NewPCG(seed, 0)),
		backends: make(map[string]*backend),
	}
}

// Update replaces what is known of the endpoints and of the grants. An
// endpoint that is gone gets no new request and keeps what is in flight.
func (p *Pool) Update(now time.Time, endpoints []*apiv1.Endpoint, grants map[string]*apiv1.SlotHold) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := now
	if len(p.backends) == 0 {
		since = time.Time{} // the entry is new, not the endpoints
	}
	for _, b := range p.backends {
		b.gone = true
		b.slots, b.connections = 0, 0
	}
	for _, endpoint := range endpoints {
		b := p.backend(since, endpoint)
		b.gone = false
		b.slots = int(grants[endpoint.GetId()].GetSlots())
		b.connections = int(grants[endpoint.GetId()].GetConnections())
	}
	p.sweep()
}

// backend returns the account of an endpoint. One that was announced again at
// another address begins anew.
func (p *Pool) backend(now time.Time, endpoint *apiv1.Endpoint) *backend {
	id := endpoint.GetId()
	b, ok := p.backends[id]
	if ok && b.endpoint.GetAddress() == endpoint.GetAddress() {
		b.endpoint = endpoint
		return b
	}
	if ok {
		b.restart(now, endpoint)
		return b
	}
	b = &backend{
		endpoint:  endpoint,
		proximity: ProximityOf(p.location, endpoint.GetLocation()),
		since:     now,
	}
	p.backends[id] = b
	return b
}

// sweep forgets endpoints that are gone and have nothing in flight.
func (p *Pool) sweep() {
	p.order = p.order[:0]
	for id, b := range p.backends {
		if b.gone && b.inFlight == 0 {
			delete(p.backends, id)
			continue
		}
		p.order = append(p.order, b)
	}
	sort.Slice(p.order, func(i, j int) bool {
		return p.order[i].endpoint.GetId() < p.order[j].endpoint.GetId()
	})
}

// Request says what a choice must respect.
type Request struct {
	AllowOtherRegion bool            // another region's endpoints may be chosen
	Avoid            map[string]bool // endpoints that were tried, by id; taken if there is no other
	AvoidDomain      string          // failure domain to leave if another one has a free slot
}

// Acquire takes a slot, or returns false if none is free for the request.
func (p *Pool) Acquire(now time.Time, request Request) (*Slot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healthy = p.hasHealthy(now)
	if p.allTried(request) {
		request.Avoid = nil
	}
	for _, far := range []bool{false, true} {
		if far && !p.mayCross(now, request) {
			break
		}
		if b := p.choose(now, request, far); b != nil {
			b.inFlight++
			return &Slot{
				ID:            b.endpoint.GetId(),
				Address:       b.endpoint.GetAddress(),
				FailureDomain: b.endpoint.GetLocation().GetFailureDomain(),
				Proximity:     b.proximity,
				pool:          p,
				of:            b,
			}, true
		}
	}
	return nil, false
}

// allTried reports whether the request must go back to an endpoint that it
// avoids, because there is no other.
func (p *Pool) allTried(request Request) bool {
	for _, b := range p.order {
		if b.slots > 0 && !b.gone && !request.Avoid[b.endpoint.GetId()] {
			return false
		}
	}
	return true
}

// HasFreeSlot reports whether any endpoint has a free slot.
func (p *Pool) HasFreeSlot(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.order {
		if b.hasRoom(now) {
			return true
		}
	}
	return false
}

// mayCross reports whether a request may go to another region. Without any
// endpoint in the own region there is no choice.
func (p *Pool) mayCross(now time.Time, request Request) bool {
	if !p.hasLocal(now) {
		return true
	}
	return request.AllowOtherRegion && (p.link == nil || p.link.Available(now))
}

// hasHealthy reports whether a granted endpoint is not ejected. When none is,
// ejections are ignored.
func (p *Pool) hasHealthy(now time.Time) bool {
	for _, b := range p.order {
		if b.slots > 0 && !b.gone && !b.ejected(now) {
			return true
		}
	}
	return false
}

func (p *Pool) hasLocal(now time.Time) bool {
	for _, b := range p.order {
		if b.proximity != OtherRegion && b.slots > 0 && !b.gone && p.admits(b, now) {
			return true
		}
	}
	return false
}

func (p *Pool) admits(b *backend, now time.Time) bool {
	return !p.healthy || !b.ejected(now)
}

func (p *Pool) choose(now time.Time, request Request, far bool) *backend {
	p.collect(now, request, far, request.AvoidDomain)
	if len(p.chosen) == 0 && request.AvoidDomain != "" {
		p.collect(now, request, far, "")
	}
	if len(p.chosen) == 0 {
		return nil
	}
	return p.chosen[p.policy.Choose(p.buffer, p.random)]
}

func (p *Pool) collect(now time.Time, request Request, far bool, leave string) {
	p.buffer, p.chosen = p.buffer[:0], p.chosen[:0]
	for _, b := range p.order {
		if (b.proximity == OtherRegion) != far || !b.hasRoom(now) || !p.admits(b, now) {
			continue
		}
		if request.Avoid[b.endpoint.GetId()] {
			continue
		}
		if leave != "" && b.endpoint.GetLocation().GetFailureDomain() == leave {
			continue
		}
		p.buffer = append(p.buffer, b.candidate())
		p.chosen = append(p.chosen, b)
	}
}

func (p *Pool) release(b *backend, now time.Time, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.inFlight--
	if !result.Inconclusive {
		b.note(result)
	}
	if b.inRow >= ejectAfter && p.mayEject(now) {
		b.eject(now)
	}
	if b.gone && b.inFlight == 0 {
		p.sweep()
	}
}

// mayEject reports whether one more endpoint can be ejected: never more than
// half of those that are granted.
func (p *Pool) mayEject(now time.Time) bool {
	granted, ejected := 0, 1
	for _, b := range p.order {
		if b.slots == 0 {
			continue
		}
		granted++
		if b.ejected(now) {
			ejected++
		}
	}
	return ejected*mostEjectedShare <= granted
}
