package balance

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Proximity is the distance between an entry and an endpoint. Lower values are nearer.
type Proximity int

// Values of Proximity, nearest first.
const (
	SameFailureDomain Proximity = iota
	SameRegion
	OtherRegion
)

// ProximityOf returns the proximity of an endpoint to an entry. An endpoint without a
// region counts as one in the entry's region.
func ProximityOf(entry, endpoint *apiv1.Location) Proximity {
	switch {
	case endpoint.GetRegion() != "" && endpoint.GetRegion() != entry.GetRegion():
		return OtherRegion
	case endpoint.GetFailureDomain() != entry.GetFailureDomain():
		return SameRegion
	default:
		return SameFailureDomain
	}
}
