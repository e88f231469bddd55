// Package placement implements the leader's placement of tasks. It commits what the
// scheduler proposes, grants leases to workers and sends them their orders. A start
// is committed before it is sent, and an attempt counts as live until its worker
// reports its end or the worker's lease expires.
package placement
