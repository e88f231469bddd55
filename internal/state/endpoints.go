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
	maxEndpointChanges = 8192  // changes kept for those who follow
	maxWithdrawnIDs    = 65536 // withdrawn ids kept

	// withdrawnRetentionMs is how long a withdrawn id stays barred. A delayed
	// announcement arrives far earlier: no caller retries for an hour.
	withdrawnRetentionMs = 60 * 60 * 1000
)

// endpointTable keeps the announced endpoints.
//
// An endpoint whose lease ran out may announce the same id again, since the
// system only supposed it dead. A withdrawn id is barred: an announcement of
// before the withdrawal, arriving late, would bring a stopped endpoint back.
type endpointTable struct {
	mu           sync.RWMutex
	endpoints    map[string]*apiv1.Endpoint // values are replaced, never changed
	sorted       []*apiv1.Endpoint          // all by id; nil: to be made anew
	changes      []*apiv1.EndpointChange    // oldest first
	changesSince uint64                     // every change after this revision is kept
	withdrawn    *withdrawnIDs
}

func newEndpointTable() *endpointTable {
	return &endpointTable{
		endpoints: make(map[string]*apiv1.Endpoint),
		withdrawn: newWithdrawnIDs(),
	}
}

// announce makes the endpoint known or changes it, and reports whether that
// changed anything.
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

// withdraw removes an endpoint by its own word and bars its id. An unknown id
// is barred too: its announcement may still be on the way.
func (t *endpointTable) withdraw(id string, now int64, revision uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.withdrawn.add(&apiv1.WithdrawnEndpoint{Id: id, UnixMs: now, Revision: revision})
	return t.remove(id, revision)
}

// expire removes an endpoint that has not changed since the given revision.
func (t *endpointTable) expire(expiry *apiv1.EndpointExpiry, revision uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.endpoints[expiry.GetId()]
	if !ok || current.GetRevision() != expiry.GetRevision() {
		return false
	}
	return t.remove(expiry.GetId(), revision)
}

func (t *endpointTable) remove(id string, revision uint64) bool {
	if _, ok := t.endpoints[id]; !ok {
		return false
	}
	delete(t.endpoints, id)
	t.recordChange(id, revision)
	return true
}

// recordChange records a change for those who follow.
func (t *endpointTable) recordChange(id string, revision uint64) {
	t.sorted = nil
	t.changes = append(t.changes, &apiv1.EndpointChange{Revision: revision, Id: id})
	if excess := len(t.changes) - maxEndpointChanges; excess > 0 {
		t.changesSince = t.changes[excess-1].GetRevision()
		t.changes = t.changes[excess:]
	}
}

// pruneWithdrawn drops withdrawn ids of long ago.
func (t *endpointTable) pruneWithdrawn(now int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.withdrawn.prune(now - withdrawnRetentionMs)
}

func (t *endpointTable) get(id string) (*apiv1.Endpoint, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	endpoint, ok := t.endpoints[id]
	return endpoint, ok
}

// list returns the endpoints of a service, or all, sorted by id. The caller
// may change the slice, but not the endpoints.
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

// listAll returns all endpoints in a slice that is shared.
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
