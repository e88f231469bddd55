package storage

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Disk is the operating system's file system.
type Disk struct{}

var _ FileSystem = Disk{}

const (
	folderMode = 0o750
	fileMode   = 0o640
)

// MkdirAll makes the folder and its parents, and makes that durable.
func (Disk) MkdirAll(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	return Disk{}.SyncFolder(filepath.Dir(filepath.Clean(folder)))
}

// List returns the names of the folder's files.
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

// Create makes an empty file.
func (Disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
}

// OpenAppend opens an existing file.
func (Disk) OpenAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Truncate cuts a file to the size in bytes.
func (Disk) Truncate(path string, size int64) error {
	return os.Truncate(path, size)
}

// Rename replaces the file at to.
func (Disk) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove deletes a file.
func (Disk) Remove(path string) error {
	return os.Remove(path)
}

// SyncFolder syncs the folder's directory entries.
func (Disk) SyncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = handle.Close() }()
	return handle.Sync()
}

// Lock takes an exclusive advisory lock on the file at path.
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
