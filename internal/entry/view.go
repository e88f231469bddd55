package entry

import (
	"sort"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// view is the configuration, the endpoints and the grants that this entry last
// learned from the leader. It is immutable.
type view struct {
	revision              uint64
	configurationRevision uint64
	routes                *routeTable
	endpoints             map[string]*apiv1.Endpoint // by id
	grants                map[string]*apiv1.SlotHold // by endpoint id
	grantsTag             uint64                     // identifies the grants in renewals; 0: none
}

func emptyView() *view {
	return &view{
		routes:    newRouteTable(nil),
		endpoints: make(map[string]*apiv1.Endpoint),
		grants:    make(map[string]*apiv1.SlotHold),
	}
}

// afterRenewal returns the view updated by the leader's response to a renewal.
func (v *view) afterRenewal(response *apiv1.RenewEntryResponse) *view {
	after := &view{
		revision:              response.GetRevision(),
		configurationRevision: v.configurationRevision,
		routes:                v.routes,
		endpoints:             v.endpoints,
		grants:                make(map[string]*apiv1.SlotHold, len(response.GetGrants())),
		grantsTag:             response.GetGrantsTag(),
	}
	if response.GetGrantsUnchanged() {
		after.grants = v.grants
	}
	if response.GetConfigurationChanged() && response.GetConfigurationRevision() >= v.configurationRevision {
		after.configurationRevision = response.GetConfigurationRevision()
		after.routes = newRouteTable(response.GetConfiguration())
	}
	if response.GetEndpointsReset() || len(response.GetEndpoints()) > 0 || len(response.GetGoneEndpoints()) > 0 {
		after.endpoints = v.endpointsAfterRenewal(response)
	}
	for _, grant := range response.GetGrants() {
		after.grants[grant.GetEndpoint()] = grant
	}
	return after
}

// endpointsAfterRenewal returns the endpoints updated by the response.
func (v *view) endpointsAfterRenewal(response *apiv1.RenewEntryResponse) map[string]*apiv1.Endpoint {
	endpoints := make(map[string]*apiv1.Endpoint, len(v.endpoints))
	if !response.GetEndpointsReset() {
		for id, endpoint := range v.endpoints {
			endpoints[id] = endpoint
		}
	}
	for _, id := range response.GetGoneEndpoints() {
		delete(endpoints, id)
	}
	for _, endpoint := range response.GetEndpoints() {
		endpoints[endpoint.GetId()] = endpoint
	}
	return endpoints
}

// withoutGrants returns the view of an entry whose lease has expired.
func (v *view) withoutGrants() *view {
	after := *v
	after.grants = make(map[string]*apiv1.SlotHold)
	after.grantsTag = 0
	return &after
}

// withoutGrantsTag returns the view with the same grants and no tag for them.
func (v *view) withoutGrantsTag() *view {
	after := *v
	after.grantsTag = 0
	return &after
}

// holdsMatchGrants reports whether the holds are equal to the grants, so that a
// renewal can send the grants' tag in place of the holds.
func (v *view) holdsMatchGrants(holds []*apiv1.SlotHold) bool {
	if len(holds) != len(v.grants) {
		return false
	}
	for _, hold := range holds {
		grant, ok := v.grants[hold.GetEndpoint()]
		if !ok || grant.GetSlots() != hold.GetSlots() || grant.GetConnections() != hold.GetConnections() {
			return false
		}
	}
	return true
}

// endpointsByService returns the endpoints of each service, sorted by id.
func (v *view) endpointsByService() map[string][]*apiv1.Endpoint {
	groups := make(map[string][]*apiv1.Endpoint)
	for _, endpoint := range v.endpoints {
		groups[endpoint.GetService()] = append(groups[endpoint.GetService()], endpoint)
	}
	for _, group := range groups {
		sort.Slice(group, func(i, j int) bool { return group[i].GetId() < group[j].GetId() })
	}
	return groups
}
