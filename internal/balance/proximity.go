package balance

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Proximity orders endpoints by distance from this entry.
type Proximity int

// The distances, nearest first.
const (
	SameFailureDomain Proximity = iota
	SameRegion
	OtherRegion
)

// ProximityOf returns how far an endpoint is from an entry. An unknown region
// counts as the own one.
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
