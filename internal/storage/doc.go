// Package storage keeps the replicated log, the hard state and snapshots in files that survive a crash once they are synced.
package storage
