package state

import (
	"slices"
	"sort"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// EndpointDelta is how the endpoints changed after a revision.
type EndpointDelta struct {
	Reset   bool              // Changed is the whole set; nothing else is known
	Changed []*apiv1.Endpoint // sorted by id; shared, must not be changed
	Removed []string          // sorted
}

// EndpointsSince returns the changes after the given revision. If that is
// longer ago than the kept history, or zero, the delta is a reset.
func (s *Store) EndpointsSince(revision uint64) EndpointDelta {
	return s.endpoints.delta(revision)
}

func (t *endpointTable) delta(after uint64) EndpointDelta {
	if after == 0 {
		return EndpointDelta{Reset: true, Changed: t.list("")}
	}
	delta, ok := t.incrementalDelta(after)
	if !ok {
		return EndpointDelta{Reset: true, Changed: t.list("")}
	}
	return delta
}

func (t *endpointTable) incrementalDelta(after uint64) (EndpointDelta, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if after < t.changesSince {
		return EndpointDelta{}, false
	}
	first := sort.Search(len(t.changes), func(i int) bool { return t.changes[i].GetRevision() > after })
	var delta EndpointDelta
	seen := make(map[string]bool)
	for _, change := range t.changes[first:] {
		id := change.GetId()
		if seen[id] {
			continue
		}
		seen[id] = true
		if endpoint, ok := t.endpoints[id]; ok {
			delta.Changed = append(delta.Changed, endpoint)
		} else {
			delta.Removed = append(delta.Removed, id)
		}
	}
	sortEndpoints(delta.Changed)
	slices.Sort(delta.Removed)
	return delta, true
}

// Endpoint returns an announced endpoint, which is shared and must not be
// changed.
func (s *Store) Endpoint(id string) (*apiv1.Endpoint, bool) {
	return s.endpoints.get(id)
}

// Endpoints returns the endpoints of a service, or of all if the name is
// empty, sorted by id. They are shared and must not be changed.
func (s *Store) Endpoints(service string) []*apiv1.Endpoint {
	return s.endpoints.list(service)
}
