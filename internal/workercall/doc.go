// Package workercall is the interface between placement and the workers that call in. Leader
// and its types are all that placement knows of a worker's protocol; Service
// is the form that speaks Twirp, and can be replaced alone.
package workercall
