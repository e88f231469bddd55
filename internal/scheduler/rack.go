package scheduler

import (
	"slices"

	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// rack is the workers that share a rack.
type rack struct {
	domain  string
	name    string
	workers []*Worker
	maxFree resources.Amount // no usable worker has more free of any resource
	exact   bool             // most is not larger than needed
}

type rackKey struct {
	domain string
	name   string
}

// add puts the worker into the rack.
func (r *rack) add(w *Worker) {
	r.workers = append(r.workers, w)
	w.rack = r
	r.raiseBound(w)
}

// remove takes the worker out of the rack.
func (r *rack) remove(w *Worker) {
	at := slices.Index(r.workers, w)
	r.workers = slices.Delete(r.workers, at, at+1)
	w.rack = nil
	r.exact = false
}

// raiseBound notes that the worker may have more free than the bound.
func (r *rack) raiseBound(w *Worker) {
	if w.usable() {
		r.maxFree = r.maxFree.Max(w.Free)
	}
}

// mayFit reports whether the bound lets the amount fit; false is certain.
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
