package state

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

func (t *endpointTable) snapshot() *apiv1.EndpointsSnapshot {
	endpoints := t.list("")
	t.mu.RLock()
	defer t.mu.RUnlock()
	return &apiv1.EndpointsSnapshot{
		Endpoints:    endpoints,
		Changes:      slices.Clone(t.changes),
		ChangesSince: t.changesSince,
		Withdrawn:    t.withdrawn.list(),
	}
}

func (t *endpointTable) restore(snapshot *apiv1.EndpointsSnapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpoints = make(map[string]*apiv1.Endpoint, len(snapshot.GetEndpoints()))
	for _, endpoint := range snapshot.GetEndpoints() {
		t.endpoints[endpoint.GetId()] = endpoint
	}
	t.sorted = nil
	t.changes = snapshot.GetChanges()
	t.changesSince = snapshot.GetChangesSince()
	t.withdrawn = newWithdrawnIDs()
	for _, withdrawn := range snapshot.GetWithdrawn() {
		t.withdrawn.add(withdrawn)
	}
}
