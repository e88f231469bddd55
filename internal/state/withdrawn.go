package state

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// withdrawnIDs is the bounded set of endpoint ids that must not be announced again.
// The caller holds the lock of the endpointTable.
type withdrawnIDs struct {
	byID        map[string]bool
	oldestFirst []*apiv1.WithdrawnEndpoint
}

func newWithdrawnIDs() *withdrawnIDs {
	return &withdrawnIDs{byID: make(map[string]bool)}
}

func (w *withdrawnIDs) contains(id string) bool {
	return w.byID[id]
}

// add adds an id. If it is already present, the time of its first withdrawal stays.
// Beyond maxWithdrawnIDs the oldest id is dropped.
func (w *withdrawnIDs) add(withdrawn *apiv1.WithdrawnEndpoint) {
	if w.byID[withdrawn.GetId()] {
		return
	}
	w.byID[withdrawn.GetId()] = true
	w.oldestFirst = append(w.oldestFirst, withdrawn)
	if len(w.oldestFirst) > maxWithdrawnIDs {
		w.dropOldest(1)
	}
}

// prune drops the ids that were withdrawn before the given time.
func (w *withdrawnIDs) prune(beforeUnixMs int64) {
	count := 0
	for count < len(w.oldestFirst) && w.oldestFirst[count].GetUnixMs() < beforeUnixMs {
		count++
	}
	w.dropOldest(count)
}

func (w *withdrawnIDs) dropOldest(count int) {
	for _, withdrawn := range w.oldestFirst[:count] {
		delete(w.byID, withdrawn.GetId())
	}
	w.oldestFirst = w.oldestFirst[count:]
}

func (w *withdrawnIDs) list() []*apiv1.WithdrawnEndpoint {
	return slices.Clone(w.oldestFirst)
}
