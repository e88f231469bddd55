// Package bodybudget bounds the memory that the requests in progress of a process use. A Budget is
// divided into portions by kind of call; bytes are taken from a portion as they arrive, not as they
// are announced, and are given back when the request ends. If a budget is full, the request that has
// made no progress for longest is ended, and otherwise the new one is refused. A request that this
// package refuses has not been passed on to its handler completely, so it had no effect.
package bodybudget
