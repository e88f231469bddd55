// Package storage keeps the replicated log, the hard state, snapshots and the
// member's identity in files that survive a crash once they are synced.
//
// The write-ahead log is a sequence of segment files. A segment consists of
// records, each with the length of its payload and CRC32C checksums of its
// header and payload. Appends are buffered; one Sync makes all of them durable.
//
// A crash can leave an incomplete tail that was never synced; Open truncates
// it. Any other damage is reported as a DamageError that names the file and the
// offset; the folder must then be treated as lost. After a failed write or sync
// the content of the disk is unknown, so every later change returns the same
// error. The folder can then be closed and opened again; with the DurableEnd of the
// failed store, Open discards what may not be durable.
package storage
