package tasks

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// maxFormerBoots is how many superseded boots are kept for a worker.
const maxFormerBoots = 8

// worker is a registered worker and its attempts.
type worker struct {
	name         string
	boot         string
	location     *apiv1.Location
	capacity     resources.Amount
	used         resources.Amount // by live attempts, stopping ones included
	alive        bool
	expiredAt    int64               // Unix milliseconds at which its lease expired; 0 while alive
	formerBoots  []string            // oldest first
	liveAttempts map[string]*attempt // by id
	lostAttempts map[string]*attempt // non-idempotent, of this boot, outcome unknown; by id

	ordersRevision uint64        // incremented with each change of orders
	ordersChanged  chan struct{} // closed at the next change of orders; nil if no long poll waits for it

	health
}

// superseded reports whether the boot is an earlier one of this worker.
func (w *worker) superseded(boot string) bool {
	return slices.Contains(w.formerBoots, boot)
}

// replaceBoot records a new boot and keeps the old one as superseded.
func (w *worker) replaceBoot(boot string) {
	if len(w.formerBoots) == maxFormerBoots {
		w.formerBoots = slices.Clone(w.formerBoots[1:])
	}
	w.formerBoots = append(w.formerBoots, w.boot)
	w.boot = boot
}

// bumpOrdersRevision marks the worker's orders as changed and wakes its long polls.
func (w *worker) bumpOrdersRevision() {
	w.ordersRevision++
	if w.ordersChanged != nil {
		close(w.ordersChanged)
		w.ordersChanged = nil
	}
}

func (w *worker) message() *apiv1.Worker {
	return &apiv1.Worker{
		Name:     w.name,
		Boot:     w.boot,
		Location: w.location,
		Capacity: w.capacity.Message(),
	}
}

// sortedKeys returns the map's keys, sorted.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for id := range m {
		keys = append(keys, id)
	}
	slices.Sort(keys)
	return keys
}
