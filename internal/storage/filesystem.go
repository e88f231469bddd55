package storage

import "io"

// FileSystem is what the package needs from an operating system. Tests
// implement it to make operations fail.
type FileSystem interface {
	MkdirAll(folder string) error
	// List returns the names of the folder's files in ascending order.
	List(folder string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create makes an empty file for appending; an existing one is truncated.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(path string) (File, error)
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes creations, renames and removals in the folder durable.
	SyncFolder(folder string) error
	// Lock takes an exclusive lock that ends with the process or with Close. It
	// fails at once if another process holds it.
	Lock(path string) (io.Closer, error)
}

// File is an open file that is written at its end.
type File interface {
	io.WriteCloser
	// Sync returns once all that was written is durable.
	Sync() error
}
