// Package relay forwards TCP connections and can fail them on order: refuse
// new ones, break open ones, or silently swallow the bytes of one or both
// directions, as a network device does that has lost track of a connection.
package relay
