// Package control is the control role: it serves entries, endpoints, workers
// and operators, and does the duties of the leader while this process leads.
//
// Everything that only a leader may do hangs on a leadership, which lasts one
// term: its lease accounts, its entry sessions, its division of slots and its
// background duties. A renewal is answered only after a read-index round begun
// after its receipt; a process that lost its term in between answers that it
// does not lead.
package control
