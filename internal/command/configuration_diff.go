package command

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// change is one difference between two configurations.
type change struct {
	Change string `json:"change"` // added, changed or removed
	What   string `json:"what"`   // the kind: job, team or worker shape
	Name   string `json:"name"`
}

// namedItem is a named part of a configuration.
type namedItem interface {
	proto.Message
	GetName() string
}

// diffConfigurations returns the changes that publishing next would make.
func diffConfigurations(current, next *apiv1.Configuration) []change {
	changes := diffItems("job", current.GetJobs(), next.GetJobs())
	changes = append(changes, diffItems("team", current.GetTeams(), next.GetTeams())...)
	return append(changes, diffItems("worker shape", current.GetShapes(), next.GetShapes())...)
}

// diffItems compares the parts of one kind and returns the changes, sorted by
// name.
func diffItems[T namedItem](what string, current, next []T) []change {
	before := map[string]T{}
	for _, p := range current {
		before[p.GetName()] = p
	}
	changes := []change{}
	for _, p := range next {
		old, exists := before[p.GetName()]
		delete(before, p.GetName())
		switch {
		case !exists:
			changes = append(changes, change{"added", what, p.GetName()})
		case !proto.Equal(old, p):
			changes = append(changes, change{"changed", what, p.GetName()})
		}
	}
	for name := range before {
		changes = append(changes, change{"removed", what, name})
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.Name, b.Name) })
	return changes
}
