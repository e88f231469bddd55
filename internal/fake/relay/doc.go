// Package relay forwards TCP connections to a target and injects network faults: it
// can refuse new connections, leave them without a response, close open ones, limit bandwidth, or silently drop the bytes of one or
// both directions, as a NAT or firewall does that has lost a connection's state.
package relay
