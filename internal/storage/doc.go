// Package storage keeps the replicated log, the hard state, snapshots and the
// member's identity in files that survive a crash once they are synced.
//
// The log is a sequence of segment files. Each holds records that carry the
// lengths and CRC32C checksums of their header and payload. Appends are
// buffered and become durable with one Sync for all of them.
//
// What a crash can leave behind, an incomplete tail that was never synced, is
// cut off when the folder is opened. Any other damage is reported as a
// DamageError that names the file and the offset; the folder must then be
// treated as lost. After a failed write or sync nothing is known about what is
// on the disk, so every later call returns the same error.
package storage
