package shares

import (
	"sort"
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
)

// Allocator tracks and grants what the entries may use during one leader's term. It
// grants nothing beyond what entries already hold until the grants of earlier leaders
// have been reported or have expired. It is safe for concurrent use.
type Allocator struct {
	clock        clock.Clock
	createdAt    clock.Reading
	takeoverWait time.Duration // from createdAt until earlier leaders' grants have expired

	mu      sync.Mutex
	entries map[string]*entry // by session
}

// NewAllocator returns the allocator of a leader that was elected just now.
func NewAllocator(options Options) *Allocator {
	options = options.withDefaults()
	length := options.LeaseLength
	return &Allocator{
		clock:        options.Clock,
		createdAt:    options.Clock.Read(),
		takeoverWait: length + time.Duration(float64(length)*options.MaxClockDrift),
		entries:      make(map[string]*entry),
	}
}

// SetLocation sets the location of an entry, which is granted nearby slots first.
func (al *Allocator) SetLocation(entrySession string, location *apiv1.Location) {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.entry(entrySession).location = location
}

// Renew records what an entry holds and demands, and returns everything that it may use
// from now on. The entry must not use an endpoint without a grant. The endpoints are all
// those announced at present, of every service.
func (al *Allocator) Renew(entrySession string, holds []*apiv1.SlotHold, demand []*apiv1.ServiceDemand, endpoints []*apiv1.Endpoint) []*apiv1.SlotHold {
	return al.RenewNumbered(entrySession, 0, holds, demand, endpoints)
}

// RenewNumbered is Renew for entries that number their requests. A request that is
// superseded by a newer one changes nothing and returns nil: its sender no longer waits
// for the response. Sequence 0 means that the request is not numbered.
func (al *Allocator) RenewNumbered(entrySession string, sequence uint64, holds []*apiv1.SlotHold, demand []*apiv1.ServiceDemand, endpoints []*apiv1.Endpoint) []*apiv1.SlotHold {
	al.mu.Lock()
	defer al.mu.Unlock()
	e := al.entry(entrySession)
	if sequence < e.sequence {
		return nil
	}
	if sequence == 0 || sequence > e.sequence {
		e.maxUsed = make(map[string]amount)
	}
	e.sequence = sequence
	e.setDemand(demand)
	e.recordHolds(holds)
	return al.renewGrants(e, endpoints)
}

// Expire drops an entry whose lease has expired. A session that renews later starts
// with what it then reports to hold.
func (al *Allocator) Expire(entrySession string) {
	al.mu.Lock()
	defer al.mu.Unlock()
	delete(al.entries, entrySession)
}

// EarlierGrantsExpired reports whether all grants of earlier leaders have been reported
// or have expired.
func (al *Allocator) EarlierGrantsExpired() bool {
	return al.clock.Read().MinElapsedSince(al.createdAt) >= al.takeoverWait
}

// entry returns the entry of a session, which it creates if needed.
func (al *Allocator) entry(session string) *entry {
	e, ok := al.entries[session]
	if !ok {
		e = newEntry(session)
		al.entries[session] = e
	}
	return e
}

// sortedEntries returns the entries sorted by session.
func (al *Allocator) sortedEntries() []*entry {
	all := make([]*entry, 0, len(al.entries))
	for _, e := range al.entries {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].session < all[j].session })
	return all
}

// free returns the slots and connections of an endpoint that no entry may be using.
func (al *Allocator) free(endpoint *apiv1.Endpoint) amount {
	left := amount{endpoint.GetSlots(), endpoint.GetConnections()}
	for _, e := range al.entries {
		maxUsed := e.maxUsed[endpoint.GetId()]
		left.slots -= maxUsed.slots
		left.connections -= maxUsed.connections
	}
	return amount{max(0, left.slots), max(0, left.connections)}
}
