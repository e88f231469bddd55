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

// connectionPlan returns the bounds of the process's connections, from the descriptor
// limit of its settings.
func connectionPlan(settings *platform.Settings) connlimit.Plan {
	descriptors := settings.Limits.MaxDescriptors - platformReservedDescriptors
	if settings.Limits.MaxDescriptors <= 0 {
		descriptors = defaultDescriptors
	}
	if settings.ServesControl() {
		return connlimit.ControlPlan(descriptors)
	}
	return connlimit.EntryPlan(descriptors)
}
