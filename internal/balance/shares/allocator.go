package shares

import (
	"sort"
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
)

// Allocator is one leader's account of what entries may use. A new leader makes a
// new Ledger, which grants nothing beyond what entries already hold until the
// grants of earlier leaders have been reported or have run out. It is safe for
// concurrent use.
type Allocator struct {
	clock clock.Clock
	begin clock.Reading
	wait  time.Duration // until earlier leaders' grants have run out

	mu      sync.Mutex
	entries map[string]*entry // by session
}

// NewAllocator returns the account of a leader elected at this moment.
func NewAllocator(options Options) *Allocator {
	options = options.withDefaults()
	length := options.LeaseLength
	return &Allocator{
		clock:   options.Clock,
		begin:   options.Clock.Read(),
		wait:    length + time.Duration(float64(length)*options.MaxClockDrift),
		entries: make(map[string]*entry),
	}
}

// SetLocation notes where an entry runs, so that it is granted slots nearby first.
func (l *Allocator) SetLocation(entrySession string, location *apiv1.Location) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(entrySession).location = location
}

// Renew takes over what the entry reports to hold and want, and returns all
// that it may use from now on. An endpoint without a grant may not be used.
// The endpoints are all that are announced at present.
func (l *Allocator) Renew(entrySession string, holds []*apiv1.SlotHold, demand []*apiv1.ServiceDemand, endpoints []*apiv1.Endpoint) []*apiv1.SlotHold {
	return l.RenewNumbered(entrySession, 0, holds, demand, endpoints)
}

// RenewNumbered is Renew for entries that number their requests. A request
// that was overtaken by a newer one changes nothing and is granted nothing: its
// sender has given up waiting for the answer. Sequence 0 means not numbered.
func (l *Allocator) RenewNumbered(entrySession string, sequence uint64, holds []*apiv1.SlotHold, demand []*apiv1.ServiceDemand, endpoints []*apiv1.Endpoint) []*apiv1.SlotHold {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(entrySession)
	if sequence < e.sequence {
		return nil
	}
	if sequence == 0 || sequence > e.sequence {
		e.used = make(map[string]amount)
	}
	e.sequence = sequence
	e.setDemand(demand)
	e.addUsed(holds)
	return l.grant(e, endpoints)
}

// Expire drops an entry whose lease has run out. A session that comes back
// starts with what it then reports to hold.
func (l *Allocator) Expire(entrySession string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, entrySession)
}

// EarlierGrantsExpired reports whether the grants of earlier leaders have been reported or
// have run out.
func (l *Allocator) EarlierGrantsExpired() bool {
	return l.clock.Read().MinElapsedSince(l.begin) >= l.wait
}

func (l *Allocator) entry(session string) *entry {
	e, ok := l.entries[session]
	if !ok {
		e = newEntry(session)
		l.entries[session] = e
	}
	return e
}

// sorted returns the entries in the order of their sessions.
func (l *Allocator) sorted() []*entry {
	all := make([]*entry, 0, len(l.entries))
	for _, e := range l.entries {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].session < all[j].session })
	return all
}

// free returns what no entry may be using of an endpoint.
func (l *Allocator) free(endpoint *apiv1.Endpoint) amount {
	left := amount{endpoint.GetSlots(), endpoint.GetConnections()}
	for _, e := range l.entries {
		used := e.used[endpoint.GetId()]
		left.slots -= used.slots
		left.connections -= used.connections
	}
	return amount{max(0, left.slots), max(0, left.connections)}
}
