package scheduler

import (
	"slices"

	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// rack holds the workers of one rack.
type rack struct {
	domain  string
	name    string
	workers []*Worker
	maxFree resources.Amount // upper bound of what any usable worker of it has free, by resource
	exact   bool             // maxFree is the exact maximum
}

type rackKey struct {
	domain string
	name   string
}

// add adds the worker to the rack.
func (r *rack) add(w *Worker) {
	r.workers = append(r.workers, w)
	w.rack = r
	r.raiseBound(w)
}

// remove removes the worker from the rack.
func (r *rack) remove(w *Worker) {
	at := slices.Index(r.workers, w)
	r.workers = slices.Delete(r.workers, at, at+1)
	w.rack = nil
	r.exact = false
}

// raiseBound raises maxFree to what a usable worker has free.
func (r *rack) raiseBound(w *Worker) {
	if w.usable() {
		r.maxFree = r.maxFree.Max(w.Free)
	}
}

// mayFit returns false if the amount fits on no worker of the rack. True is not
// certain, since the maximum of each resource may be of another worker.
func (r *rack) mayFit(amount resources.Amount) bool {
	if !r.exact {
		r.maxFree = resources.Amount{}
		for _, w := range r.workers {
			r.raiseBound(w)
		}
		r.exact = true
	}
	return len(r.workers) > 0 && amount.FitsIn(r.maxFree)
}
