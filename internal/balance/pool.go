package balance

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Pool tracks the endpoints of one service and the slots that one entry was granted on
// them, and chooses an endpoint for each request. It is safe for concurrent use.
type Pool struct {
	location *apiv1.Location
	policy   Policy
	link     *LinkBudget // nil: unlimited

	mu              sync.Mutex
	random          *rand.Rand
	states          map[string]*endpointState // by endpoint id
	sorted          []*endpointState          // by endpoint id
	candidates      []Candidate               // reused by each choice
	candidateStates []*endpointState          // of candidates, by the same index
	anyHealthy      bool                      // result of hasHealthy in the latest Acquire, for isEligible
}

// NewPool returns an empty pool for an entry at the given location. A nil link means
// that traffic to other regions is not limited.
func NewPool(location *apiv1.Location, policy Policy, link *LinkBudget, seed uint64) *Pool {
	return &Pool{
		location: location,
		policy:   policy,
		link:     link,
		random:   rand.New(rand.NewPCG(seed, 0)),
		states:   make(map[string]*endpointState),
	}
}

// Update replaces the endpoints and the grants, which are keyed by endpoint id. An
// endpoint that is no longer listed gets no new requests; those in flight continue.
// Endpoints added to an empty pool have no slow start.
func (p *Pool) Update(now time.Time, endpoints []*apiv1.Endpoint, grants map[string]*apiv1.SlotHold) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := now
	if len(p.states) == 0 {
		since = time.Time{} // the entry is new, not the endpoints: no slow start
	}
	for _, e := range p.states {
		e.removed = true
		e.grantedSlots, e.grantedConnections = 0, 0
	}
	for _, endpoint := range endpoints {
		e := p.endpointState(since, endpoint)
		e.removed = false
		e.grantedSlots = int(grants[endpoint.GetId()].GetSlots())
		e.grantedConnections = int(grants[endpoint.GetId()].GetConnections())
	}
	p.prune()
}

// endpointState returns the state of an endpoint, which it creates if needed. A changed
// address resets its measurements, but not inFlight. A new or reset state begins its
// slow start at since.
func (p *Pool) endpointState(since time.Time, endpoint *apiv1.Endpoint) *endpointState {
	id := endpoint.GetId()
	e, ok := p.states[id]
	if ok && e.endpoint.GetAddress() == endpoint.GetAddress() {
		e.endpoint = endpoint
		return e
	}
	if ok {
		e.reset(since, endpoint)
		return e
	}
	e = &endpointState{
		endpoint:       endpoint,
		proximity:      ProximityOf(p.location, endpoint.GetLocation()),
		availableSince: since,
	}
	p.states[id] = e
	return e
}

// prune drops removed endpoints without requests in flight and rebuilds the sorted list.
func (p *Pool) prune() {
	p.sorted = p.sorted[:0]
	for id, e := range p.states {
		if e.removed && e.inFlight == 0 {
			delete(p.states, id)
			continue
		}
		p.sorted = append(p.sorted, e)
	}
	sort.Slice(p.sorted, func(i, j int) bool {
		return p.sorted[i].endpoint.GetId() < p.sorted[j].endpoint.GetId()
	})
}

// Request holds the constraints on the choice of an endpoint for one request.
type Request struct {
	AllowOtherRegion bool            // may leave the region while it has eligible endpoints, if the link has budget
	Avoid            map[string]bool // ids of endpoints tried before; ignored if no other endpoint has granted slots, free or not
	AvoidDomain      string          // failure domain to avoid, but not by leaving the region
	Suspect          string          // identity of a request that may have crashed an endpoint; empty: none
	Isolate          bool            // not to an endpoint with another suspect in flight
}

// Acquire takes a free slot that meets the request's constraints. It returns false if
// there is none. Endpoints in the own region come first.
func (p *Pool) Acquire(now time.Time, request Request) (*Slot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.anyHealthy = p.hasHealthy(now)
	if p.mustReuseAvoided(request) {
		request.Avoid = nil
	}
	for _, otherRegion := range []bool{false, true} {
		if otherRegion && !p.mayUseOtherRegion(now, request) {
			break
		}
		if e := p.choose(now, request, otherRegion); e != nil {
			e.inFlight++
			e.addSuspect(request.Suspect)
			return &Slot{
				ID:            e.endpoint.GetId(),
				Address:       e.endpoint.GetAddress(),
				FailureDomain: e.endpoint.GetLocation().GetFailureDomain(),
				Proximity:     e.proximity,
				pool:          p,
				state:         e,
				suspect:       request.Suspect,
			}, true
		}
	}
	return nil, false
}

// mustReuseAvoided reports whether every endpoint with granted slots is one that the
// request avoids.
func (p *Pool) mustReuseAvoided(request Request) bool {
	for _, e := range p.sorted {
		if e.grantedSlots > 0 && !e.removed && !request.Avoid[e.endpoint.GetId()] {
			return false
		}
	}
	return true
}

// HasFreeSlot reports whether any endpoint has a free slot, ejected or not, in any
// region. Acquire may still find none.
func (p *Pool) HasFreeSlot(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.sorted {
		if e.hasFreeSlot(now) {
			return true
		}
	}
	return false
}

// mayUseOtherRegion reports whether a request may go to another region: if it allows
// that and the link has budget, or if the own region has no eligible endpoint.
func (p *Pool) mayUseOtherRegion(now time.Time, request Request) bool {
	if !p.hasLocal(now) {
		return true
	}
	return request.AllowOtherRegion && (p.link == nil || p.link.Available(now))
}

// hasHealthy reports whether some endpoint with granted slots is not ejected. If none
// is healthy, ejections are ignored.
func (p *Pool) hasHealthy(now time.Time) bool {
	for _, e := range p.sorted {
		if e.grantedSlots > 0 && !e.removed && !e.ejected(now) {
			return true
		}
	}
	return false
}

// hasLocal reports whether the own region has an eligible endpoint with granted slots,
// free or not.
func (p *Pool) hasLocal(now time.Time) bool {
	for _, e := range p.sorted {
		if e.proximity != OtherRegion && e.grantedSlots > 0 && !e.removed && p.isEligible(e, now) {
			return true
		}
	}
	return false
}

// isEligible reports whether the endpoint is not ejected, or ejections are ignored.
func (p *Pool) isEligible(e *endpointState, now time.Time) bool {
	return !p.anyHealthy || !e.ejected(now)
}

// choose returns an endpoint with a free slot, either in the own region or in others,
// or nil if there is none.
func (p *Pool) choose(now time.Time, request Request, otherRegion bool) *endpointState {
	p.collectCandidates(now, request, otherRegion)
	if len(p.candidateStates) == 0 && request.AvoidDomain != "" {
		request.AvoidDomain = ""
		p.collectCandidates(now, request, otherRegion)
	}
	if len(p.candidateStates) == 0 {
		return nil
	}
	return p.candidateStates[p.policy.Choose(p.candidates, p.random)]
}

// collectCandidates sets candidates to the endpoints among which the policy may choose.
func (p *Pool) collectCandidates(now time.Time, request Request, otherRegion bool) {
	p.candidates, p.candidateStates = p.candidates[:0], p.candidateStates[:0]
	for _, e := range p.sorted {
		if (e.proximity == OtherRegion) != otherRegion || !e.hasFreeSlot(now) || !p.isEligible(e, now) {
			continue
		}
		if request.Avoid[e.endpoint.GetId()] || request.Isolate && e.hasOtherSuspect(request.Suspect) {
			continue
		}
		if request.AvoidDomain != "" && e.endpoint.GetLocation().GetFailureDomain() == request.AvoidDomain {
			continue
		}
		p.candidates = append(p.candidates, e.candidate())
		p.candidateStates = append(p.candidateStates, e)
	}
}

// release frees a slot and records the result of its request.
func (p *Pool) release(e *endpointState, suspect string, now time.Time, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.inFlight--
	e.removeSuspect(suspect)
	if !result.Inconclusive {
		e.record(result)
	}
	if e.consecutiveFailures >= ejectAfterFailures && p.canEject(now) {
		e.eject(now)
	}
	if e.removed && e.inFlight == 0 {
		p.prune()
	}
}

// canEject reports whether one more endpoint may be ejected: at most half of those with
// granted slots.
func (p *Pool) canEject(now time.Time) bool {
	granted, ejected := 0, 1
	for _, e := range p.sorted {
		if e.grantedSlots == 0 {
			continue
		}
		granted++
		if e.ejected(now) {
			ejected++
		}
	}
	return ejected*maxEjectedDivisor <= granted
}
