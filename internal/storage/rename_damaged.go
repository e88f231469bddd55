package storage

import (
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// damagedSuffix marks the files of a folder that was set aside.
const damagedSuffix = ".damaged"

// RenameDamagedFiles renames the files of a damaged data folder, so that the next Open
// begins with an empty one and a new incarnation. Files of the same names that an
// earlier call set aside are replaced.
//
// The identity goes first, for good: an incarnation must never be seen with less
// than it has synced.
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
	return errors.Wrapf(fs.Rename(path, path+damagedSuffix), "setting file %q aside", path)
}
