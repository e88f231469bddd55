package state

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// changedNames returns the sorted names of the jobs, teams and shapes that were
// added, changed or removed from before to after.
func changedNames(before, after *apiv1.Configuration) []string {
	var names []string
	names = append(names, changedItemNames(before.GetJobs(), after.GetJobs())...)
	names = append(names, changedItemNames(before.GetTeams(), after.GetTeams())...)
	names = append(names, changedItemNames(before.GetShapes(), after.GetShapes())...)
	slices.Sort(names)
	return slices.Compact(names)
}

type namedMessage interface {
	named
	proto.Message
}

func changedItemNames[T namedMessage](before, after []T) []string {
	beforeByName := make(map[string]T, len(before))
	for _, item := range before {
		beforeByName[item.GetName()] = item
	}
	var names []string
	for _, item := range after {
		old, ok := beforeByName[item.GetName()]
		if !ok || !proto.Equal(old, item) {
			names = append(names, item.GetName())
		}
		delete(beforeByName, item.GetName())
	}
	for name := range beforeByName {
		names = append(names, name)
	}
	return names
}
