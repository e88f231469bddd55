package discovery

import (
	"net/netip"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	maxNameBytes   = 255
	maxSlots       = 10_000
	maxConnections = 100_000
)

// checkEndpoint returns an error for an invalid announcement. The error names the field.
func checkEndpoint(endpoint *apiv1.Endpoint) error {
	if endpoint == nil {
		return twirp.RequiredArgumentError("endpoint")
	}
	if err := checkID(endpoint.GetId()); err != nil {
		return err
	}
	if endpoint.GetService() == "" || len(endpoint.GetService()) > maxNameBytes {
		return twirp.InvalidArgumentError("endpoint.service", "must have 1 to 255 bytes")
	}
	address, err := netip.ParseAddrPort(endpoint.GetAddress())
	if err != nil || address.Port() == 0 {
		return twirp.InvalidArgumentError("endpoint.address", "must be an IP number and a port, as in 10.0.0.7:8080")
	}
	if endpoint.GetLocation().GetRegion() == "" || endpoint.GetLocation().GetFailureDomain() == "" {
		return twirp.InvalidArgumentError("endpoint.location", "must have a region and a failure_domain")
	}
	return checkCapacity(endpoint)
}

// checkCapacity checks the number of slots and connections.
func checkCapacity(endpoint *apiv1.Endpoint) error {
	if endpoint.GetSlots() < 1 || endpoint.GetSlots() > maxSlots {
		return twirp.InvalidArgumentError("endpoint.slots", "must be from 1 to 10000")
	}
	if endpoint.GetConnections() < endpoint.GetSlots() || endpoint.GetConnections() > maxConnections {
		return twirp.InvalidArgumentError("endpoint.connections", "must be from the number of slots to 100000")
	}
	return nil
}

// checkID checks the length of an endpoint id.
func checkID(id string) error {
	if id == "" || len(id) > maxNameBytes {
		return twirp.InvalidArgumentError("id", "must have 1 to 255 bytes")
	}
	return nil
}
