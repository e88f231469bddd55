package daemon

import (
	"github.com/pistachioport/pistachioport/internal/connlimit"
	"github.com/pistachioport/pistachioport/platform"
)

const (
	// platformReservedDescriptors of a process's limit are set aside by the platform for
	// files outside the data folder.
	platformReservedDescriptors = 200
	// defaultDescriptors is the limit if the settings name none.
	defaultDescriptors = 4096
)

// descriptorLimit returns the number of descriptors that the process may have open, from its settings.
func descriptorLimit(settings *platform.Settings) int {
	if settings.Limits.MaxDescriptors <= 0 {
		return defaultDescriptors
	}
	return settings.Limits.MaxDescriptors - platformReservedDescriptors
}

// connectionPlan returns the bounds of the process's connections.
func connectionPlan(settings *platform.Settings) connlimit.Plan {
	descriptors := descriptorLimit(settings)
	if settings.ServesControl() {
		return connlimit.ControlPlan(descriptors)
	}
	return connlimit.EntryPlan(descriptors)
}
