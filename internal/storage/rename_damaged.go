package storage

import (
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// damagedSuffix is appended to the file names of a damaged folder.
const damagedSuffix = ".damaged"

// RenameDamagedFiles appends ".damaged" to the names of a damaged data folder's
// files, so that the next Open starts with an empty folder and a new incarnation.
// It replaces files that an earlier call renamed to the same names. A nil fs means
// Disk.
//
// The identity is renamed first and durably: an incarnation must never reappear
// without data that it has synced.
func RenameDamagedFiles(fs FileSystem, folder string) error {
	if fs == nil {
		fs = Disk{}
	}
	names, err := fs.List(folder)
	if err != nil {
		return errors.Wrapf(err, "listing folder %q", folder)
	}
	if slices.Contains(names, identityName) {
		if err := renameDamagedFile(fs, folder, identityName); err != nil {
			return err
		}
		if err := fs.SyncFolder(folder); err != nil {
			return errors.Wrapf(err, "syncing folder %q", folder)
		}
	}
	for _, name := range names {
		if name == identityName || name == lockName || strings.HasSuffix(name, damagedSuffix) {
			continue
		}
		if err := renameDamagedFile(fs, folder, name); err != nil {
			return err
		}
	}
	return errors.Wrapf(fs.SyncFolder(folder), "syncing folder %q", folder)
}

func renameDamagedFile(fs FileSystem, folder, name string) error {
	path := filepath.Join(folder, name)
	return errors.Wrapf(fs.Rename(path, path+damagedSuffix), "renaming damaged file %q", path)
}
