package state

import (
	"net"
	"strconv"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Bounds of an announced endpoint.
const (
	maxEndpointConcurrency  = 10000 // slots, and connections
	maxEndpointAddressBytes = 256
)

// ValidateEndpoint checks the rules for every announced endpoint: id, service,
// address, slots, connections and the length of its texts.
func ValidateEndpoint(endpoint *apiv1.Endpoint) error {
	if err := validateEndpointID(endpoint.GetId()); err != nil {
		return err
	}
	id := endpoint.GetId()
	if endpoint.GetService() == "" || len(endpoint.GetService()) > maxNameBytes {
		return errors.Newf("endpoint %q: service must have 1 to %d bytes", id, maxNameBytes)
	}
	if err := validateAddress(endpoint.GetAddress()); err != nil {
		return errors.Wrapf(err, "endpoint %q", id)
	}
	if endpoint.GetSlots() < 1 || endpoint.GetSlots() > maxEndpointConcurrency {
		return errors.Newf("endpoint %q: slots must be 1 to %d", id, maxEndpointConcurrency)
	}
	if endpoint.GetConnections() < 1 || endpoint.GetConnections() > maxEndpointConcurrency {
		return errors.Newf("endpoint %q: connections must be 1 to %d", id, maxEndpointConcurrency)
	}
	location := endpoint.GetLocation()
	for _, text := range []string{location.GetRegion(), location.GetFailureDomain(), location.GetRack(), endpoint.GetAttempt()} {
		if len(text) > maxNameBytes {
			return errors.Newf("endpoint %q: a text is longer than %d bytes", id, maxNameBytes)
		}
	}
	return nil
}

func validateEndpointID(id string) error {
	if id == "" || len(id) > maxNameBytes {
		return errors.Newf("endpoint id must have 1 to %d bytes", maxNameBytes)
	}
	return nil
}

func validateAddress(address string) error {
	if len(address) > maxEndpointAddressBytes {
		return errors.Newf("address is longer than %d bytes", maxEndpointAddressBytes)
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return errors.Newf("address %q is not host:port", address)
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 {
		return errors.Newf("address %q has no valid port", address)
	}
	return nil
}
