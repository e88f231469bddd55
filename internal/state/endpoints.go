package state

import (
	"cmp"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Bounds of the endpoint table.
const (
	maxEndpoints       = 16384
	maxEndpointChanges = 8192  // changes kept for EndpointsSince
	maxWithdrawnIDs    = 65536 // the oldest are dropped first

	// withdrawnRetentionMs is how long announcements of a withdrawn id are refused.
	// A delayed announcement arrives far earlier: no caller retries for an hour.
	withdrawnRetentionMs = 60 * 60 * 1000
)

// endpointTable holds the announced endpoints and their recent changes.
//
// An endpoint whose lease expired may announce the same id again, since the expiry
// doesn't prove that it stopped. Announcements of a withdrawn id are refused: one
// that was sent before the withdrawal and arrives late would bring a stopped
// endpoint back.
type endpointTable struct {
	mu           sync.RWMutex
	endpoints    map[string]*apiv1.Endpoint // by id; the values are immutable
	sorted       []*apiv1.Endpoint          // by id; nil until listAll builds it
	changes      []*apiv1.EndpointChange    // oldest first
	changesSince uint64                     // changes holds all changes after this revision
	withdrawn    *withdrawnIDs
}

func newEndpointTable() *endpointTable {
	return &endpointTable{
		endpoints: make(map[string]*apiv1.Endpoint),
		withdrawn: newWithdrawnIDs(),
	}
}

// announce adds or updates the endpoint and reports whether it was new or different.
// A refused announcement changes nothing.
func (t *endpointTable) announce(endpoint *apiv1.Endpoint, revision uint64) (bool, *apiv1.EndpointRefusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if refusal := t.checkAnnounce(endpoint); refusal != nil {
		return false, refusal
	}
	stored := proto.CloneOf(endpoint)
	if old, ok := t.endpoints[endpoint.GetId()]; ok {
		stored.Revision = old.GetRevision()
		if proto.Equal(old, stored) {
			return false, nil
		}
	}
	stored.Revision = revision
	t.endpoints[stored.GetId()] = stored
	t.recordChange(stored.GetId(), revision)
	return true, nil
}

// checkAnnounce returns the refusal of an announcement, or nil. The caller holds the
// lock.
func (t *endpointTable) checkAnnounce(endpoint *apiv1.Endpoint) *apiv1.EndpointRefusal {
	id := endpoint.GetId()
	if err := ValidateEndpoint(endpoint); err != nil {
		return refuseEndpoint(id, RefusalInvalid, err.Error())
	}
	if t.withdrawn.contains(id) {
		return refuseEndpoint(id, RefusalWithdrawn, "the endpoint was withdrawn; a new process takes a new id")
	}
	if _, known := t.endpoints[id]; !known && len(t.endpoints) >= maxEndpoints {
		return refuseEndpoint(id, RefusalTableFull, "the table of endpoints is full")
	}
	return nil
}

func refuseEndpoint(id string, code RefusalCode, detail string) *apiv1.EndpointRefusal {
	return &apiv1.EndpointRefusal{Id: truncate(id), Code: string(code), Detail: detail}
}

// withdraw removes an endpoint at its own request and refuses further announcements
// of its id. This applies to an unknown id too, since its announcement may still
// arrive. It reports whether the endpoint was present.
func (t *endpointTable) withdraw(id string, nowUnixMs int64, revision uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.withdrawn.add(&apiv1.WithdrawnEndpoint{Id: id, UnixMs: nowUnixMs, Revision: revision})
	return t.remove(id, revision)
}

// expire removes an endpoint if its revision is still the one in the expiry, and
// reports whether it did.
func (t *endpointTable) expire(expiry *apiv1.EndpointExpiry, revision uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.endpoints[expiry.GetId()]
	if !ok || current.GetRevision() != expiry.GetRevision() {
		return false
	}
	return t.remove(expiry.GetId(), revision)
}

// remove removes an endpoint and reports whether it was present. The caller holds
// the lock.
func (t *endpointTable) remove(id string, revision uint64) bool {
	if _, ok := t.endpoints[id]; !ok {
		return false
	}
	delete(t.endpoints, id)
	t.recordChange(id, revision)
	return true
}

// recordChange records a change for EndpointsSince. The caller holds the lock.
func (t *endpointTable) recordChange(id string, revision uint64) {
	t.sorted = nil
	t.changes = append(t.changes, &apiv1.EndpointChange{Revision: revision, Id: id})
	if excess := len(t.changes) - maxEndpointChanges; excess > 0 {
		t.changesSince = t.changes[excess-1].GetRevision()
		t.changes = t.changes[excess:]
	}
}

// pruneWithdrawn drops the ids that were withdrawn more than withdrawnRetentionMs
// before the given time.
func (t *endpointTable) pruneWithdrawn(nowUnixMs int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.withdrawn.prune(nowUnixMs - withdrawnRetentionMs)
}

func (t *endpointTable) get(id string) (*apiv1.Endpoint, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	endpoint, ok := t.endpoints[id]
	return endpoint, ok
}

// list returns the endpoints of the service, or all if it is empty, sorted by id.
// The caller may change the slice, but not the endpoints.
func (t *endpointTable) list(service string) []*apiv1.Endpoint {
	all := t.listAll()
	if service == "" {
		return slices.Clone(all)
	}
	var found []*apiv1.Endpoint
	for _, endpoint := range all {
		if endpoint.GetService() == service {
			found = append(found, endpoint)
		}
	}
	return found
}

// listAll returns all endpoints, sorted by id, in a slice that is shared and must
// not be changed.
func (t *endpointTable) listAll() []*apiv1.Endpoint {
	t.mu.RLock()
	sorted := t.sorted
	t.mu.RUnlock()
	if sorted != nil {
		return sorted
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sorted == nil {
		t.sorted = make([]*apiv1.Endpoint, 0, len(t.endpoints))
		for _, endpoint := range t.endpoints {
			t.sorted = append(t.sorted, endpoint)
		}
		sortEndpoints(t.sorted)
	}
	return t.sorted
}

func sortEndpoints(endpoints []*apiv1.Endpoint) {
	slices.SortFunc(endpoints, func(a, b *apiv1.Endpoint) int {
		return cmp.Compare(a.GetId(), b.GetId())
	})
}
