// Package placement is the leader's duty of placing tasks. It commits what the
// scheduler proposes, grants leases to workers and hands them their orders: a
// start is committed before it is sent, and an attempt counts as live until its
// worker says that it ended or the worker's lease has run out.
package placement
