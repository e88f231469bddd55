// Package connlimit keeps a process within its limit of file descriptors. A Plan divides
// the limit among the kinds of connections, so that a flood of one kind leaves room for
// the others; a Listener enforces the part of an incoming kind.
package connlimit
