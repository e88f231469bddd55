package storage

import "io"

// FileSystem is the set of file operations that the package uses. Tests
// implement it to inject failures.
type FileSystem interface {
	// MkdirAll creates the folder and its parents if they don't exist.
	MkdirAll(folder string) error
	// List returns the names of the folder's files in ascending order.
	List(folder string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create opens a new, empty file for appending; an existing one is truncated.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(path string) (File, error)
	// Truncate cuts the file to size bytes.
	Truncate(path string, size int64) error
	// Rename moves a file and replaces any file at to.
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes creations, renames and removals in the folder durable.
	SyncFolder(folder string) error
	// Lock acquires an exclusive lock, which Close or the end of the process
	// releases. It fails without waiting if the lock is held.
	Lock(path string) (io.Closer, error)
}

// File is a file opened for appending.
type File interface {
	io.WriteCloser
	// Sync returns once all written data is durable.
	Sync() error
}
