package state

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// changedNames returns the sorted names of jobs, teams and shapes that the two
// configurations don't have alike.
func changedNames(before, after *apiv1.Configuration) []string {
	var names []string
	names = append(names, differing(before.GetJobs(), after.GetJobs())...)
	names = append(names, differing(before.GetTeams(), after.GetTeams())...)
	names = append(names, differing(before.GetShapes(), after.GetShapes())...)
	slices.Sort(names)
	return slices.Compact(names)
}

type namedMessage interface {
	named
	proto.Message
}

func differing[T namedMessage](before, after []T) []string {
	known := make(map[string]T, len(before))
	for _, item := range before {
		known[item.GetName()] = item
	}
	var names []string
	for _, item := range after {
		old, ok := known[item.GetName()]
		if !ok || !proto.Equal(old, item) {
			names = append(names, item.GetName())
		}
		delete(known, item.GetName())
	}
	for name := range known {
		names = append(names, name)
	}
	return names
}
