package storage

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// ErrUnavailable marks the error of a file operation that a full or faulty disk refused.
// What was durable before is intact, so the folder can be opened again once the disk
// accepts writes. Damage and a lock held by another process are not marked.
var ErrUnavailable = errors.New("the data folder can't be read or written")

const (
	probeName  = "probe" + temporarySuffix
	probeBytes = 4 << 10
)

// Probe reports whether the folder accepts writes: it writes, syncs and removes a small
// file. A nil fs means Disk.
func Probe(fs FileSystem, folder string) error {
	if fs == nil {
		fs = Disk{}
	}
	path := filepath.Join(folder, probeName)
	if err := writeFile(fs, path, [][]byte{make([]byte, probeBytes)}); err != nil {
		return errors.Wrapf(err, "writing file %q", path)
	}
	return errors.Wrapf(fs.Remove(path), "removing file %q", path)
}
