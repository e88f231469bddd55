package storage

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Disk is the FileSystem of the operating system.
type Disk struct{}

var _ FileSystem = Disk{}

const (
	folderMode = 0o750
	fileMode   = 0o640
)

// MkdirAll creates the folder and its parents, and syncs the folder's parent.
func (Disk) MkdirAll(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	return Disk{}.SyncFolder(filepath.Dir(filepath.Clean(folder)))
}

// List returns the names of the folder's files in ascending order.
func (Disk) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// ReadFile reads a whole file.
func (Disk) ReadFile(path string) ([]byte, error) {
	return os.ReadFile(path)
}

// Create opens a new, empty file for appending; an existing one is truncated.
func (Disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
}

// OpenAppend opens an existing file for appending.
func (Disk) OpenAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Truncate cuts the file to size bytes.
func (Disk) Truncate(path string, size int64) error {
	return os.Truncate(path, size)
}

// Rename moves a file and replaces any file at to.
func (Disk) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove deletes a file.
func (Disk) Remove(path string) error {
	return os.Remove(path)
}

// SyncFolder makes creations, renames and removals in the folder durable.
func (Disk) SyncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = handle.Close() }()
	return handle.Sync()
}

// Lock acquires an exclusive advisory lock (flock) on the file at path, which it
// creates if it does not exist.
func (Disk) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, errors.Wrapf(err, "data folder %q is in use by another process", filepath.Dir(path))
	}
	return file, nil
}
