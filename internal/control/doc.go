// Package control implements the control role: it serves entries, endpoints,
// workers and operators, and performs the leader's duties while this process leads.
//
// All state and work of a leader belong to a leadership, which lasts one term:
// the leases, the entry sessions, the allocation of slots and the background
// duties. A renewal is answered only after a read-index round that began after
// its receipt; a process that lost its term in between answers that it does not
// lead.
package control
