package storage

import (
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

const temporarySuffix = ".tmp"

// replaceFile durably replaces the file's content by the given parts. After a
// crash the file holds either the old or the new content.
func replaceFile(fs FileSystem, folder, name string, parts ...[]byte) error {
	path := filepath.Join(folder, name)
	temporaryPath := path + temporarySuffix
	if err := writeFile(fs, temporaryPath, parts); err != nil {
		return errors.Wrapf(err, "writing file %q", temporaryPath)
	}
	if err := fs.Rename(temporaryPath, path); err != nil {
		return errors.Wrapf(err, "renaming file %q", temporaryPath)
	}
	if err := fs.SyncFolder(folder); err != nil {
		return errors.Wrapf(err, "syncing folder %q", folder)
	}
	return nil
}

// writeFile creates the file from the given parts and syncs it.
func writeFile(fs FileSystem, path string, parts [][]byte) error {
	file, err := fs.Create(path)
	if err != nil {
		return err
	}
	for _, part := range parts {
		if err := writeAll(file, part); err != nil {
			return errors.CombineErrors(err, file.Close())
		}
	}
	if err := file.Sync(); err != nil {
		return errors.CombineErrors(err, file.Close())
	}
	return file.Close()
}

// writeAll writes the data; a short write without an error is an error too.
func writeAll(file File, data []byte) error {
	n, err := file.Write(data)
	if err != nil {
		return err
	}
	if n < len(data) {
		return errors.Newf("wrote %d of %d bytes", n, len(data))
	}
	return nil
}

// removeTemporaryFiles deletes what a crash during replaceFile left behind.
func removeTemporaryFiles(fs FileSystem, folder string) error {
	return removeFiles(fs, folder, func(name string) bool {
		return strings.HasSuffix(name, temporarySuffix)
	})
}

// removeStateFiles deletes the log and snapshots, which a member that belongs to
// no cluster has if a crash interrupted the formation.
func removeStateFiles(fs FileSystem, folder string) error {
	return removeFiles(fs, folder, isStateFile)
}

func removeFiles(fs FileSystem, folder string, selected func(name string) bool) error {
	names, err := fs.List(folder)
	if err != nil {
		return errors.Wrapf(err, "listing folder %q", folder)
	}
	for _, name := range names {
		if !selected(name) {
			continue
		}
		if err := fs.Remove(filepath.Join(folder, name)); err != nil {
			return errors.Wrapf(err, "removing file %q", name)
		}
	}
	return nil
}
