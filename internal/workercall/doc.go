// Package workercall defines the interface between placement and the workers that
// call it. Placement knows the workers' protocol only through Leader and its types;
// Service implements it over Twirp and can be replaced on its own.
package workercall
