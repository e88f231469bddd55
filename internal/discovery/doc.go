// Package discovery serves the announcements of endpoints: it checks them and forwards
// them to the leader.
package discovery
