package state

import (
	"slices"
	"sort"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// EndpointDelta describes how the endpoints changed after a revision.
type EndpointDelta struct {
	Reset   bool              // Changed holds all endpoints and replaces the reader's set
	Changed []*apiv1.Endpoint // sorted by id; shared, must not be changed
	Removed []string          // sorted
}

// EndpointsSince returns the changes after the given revision. The delta is a reset
// if the revision is 0 or older than the kept changes.
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

// incrementalDelta returns the delta computed from the kept changes, or false if
// they don't reach back to the revision.
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

// Endpoint returns the announced endpoint of this id, if there is one. It is shared
// and must not be changed.
func (s *Store) Endpoint(id string) (*apiv1.Endpoint, bool) {
	return s.endpoints.get(id)
}

// Endpoints returns the endpoints of the service, or all if it is empty, sorted by
// id. They are shared and must not be changed; the slice may be.
func (s *Store) Endpoints(service string) []*apiv1.Endpoint {
	return s.endpoints.list(service)
}
