package storage

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

const (
	snapshotSuffix    = ".snapshot"
	snapshotPartBytes = 16 << 20 // per record
)

// snapshotName returns the file name; names sort by index.
func snapshotName(index uint64) string {
	return fmt.Sprintf("%016x%s", index, snapshotSuffix)
}

// isStateFile reports whether the name is that of a snapshot or log segment.
func isStateFile(name string) bool {
	return strings.HasSuffix(name, snapshotSuffix) || strings.HasSuffix(name, segmentSuffix)
}

// writeSnapshot stores the snapshot durably and atomically.
func writeSnapshot(fs FileSystem, folder string, snapshot *raft.Snapshot) error {
	meta, err := proto.Marshal(snapshot.Meta)
	if err != nil {
		return err
	}
	parts := [][]byte{appendRecord(nil, recordSnapshotMeta, meta)}
	for part := range slices.Chunk(snapshot.Data, snapshotPartBytes) {
		parts = append(parts, appendRecord(nil, recordSnapshotData, part))
	}
	size := encodeUint64s(uint64(len(snapshot.Data)))
	parts = append(parts, appendRecord(nil, recordSnapshotEnd, size))
	return replaceFile(fs, folder, snapshotName(snapshot.Meta.GetIndex()), parts...)
}

// snapshotNames returns the names of the folder's snapshots, oldest first.
func snapshotNames(fs FileSystem, folder string) ([]string, error) {
	return namesWithSuffix(fs, folder, snapshotSuffix)
}

// namesWithSuffix returns the folder's matching file names in ascending order.
func namesWithSuffix(fs FileSystem, folder, suffix string) ([]string, error) {
	names, err := fs.List(folder)
	if err != nil {
		return nil, errors.Wrapf(err, "listing folder %q", folder)
	}
	names = slices.DeleteFunc(names, func(name string) bool {
		return !strings.HasSuffix(name, suffix)
	})
	slices.Sort(names)
	return names, nil
}

// readNewestSnapshot returns the snapshot with the highest index, or nil if the
// folder holds none.
func readNewestSnapshot(fs FileSystem, folder string) (*raft.Snapshot, error) {
	names, err := snapshotNames(fs, folder)
	if err != nil || len(names) == 0 {
		return nil, err
	}
	path := filepath.Join(folder, names[len(names)-1])
	data, err := fs.ReadFile(path)
	if err != nil {
		return nil, errors.Wrapf(err, "reading file %q", path)
	}
	records, _, err := scanRecords(path, data, false)
	if err != nil {
		return nil, err
	}
	return decodeSnapshot(path, records)
}

func decodeSnapshot(path string, records []record) (*raft.Snapshot, error) {
	snapshot := &raft.Snapshot{Meta: &apiv1.SnapshotMeta{}}
	complete := false
	for i, rec := range records {
		ok := !complete
		switch rec.kind {
		case recordSnapshotMeta:
			ok = ok && i == 0 && proto.Unmarshal(rec.payload, snapshot.Meta) == nil
		case recordSnapshotData:
			snapshot.Data = append(snapshot.Data, rec.payload...)
		case recordSnapshotEnd:
			var size uint64
			ok = ok && decodeUint64s(rec.payload, &size) && size == uint64(len(snapshot.Data))
			complete = true
		default:
			ok = false
		}
		if !ok {
			return nil, &DamageError{Path: path, Offset: rec.offset, Reason: "unexpected or invalid record in a snapshot"}
		}
	}
	if !complete || records[0].kind != recordSnapshotMeta {
		return nil, &DamageError{Path: path, Reason: "the snapshot is incomplete"}
	}
	return snapshot, nil
}

// removeOldSnapshots deletes all snapshots but the newest.
func removeOldSnapshots(fs FileSystem, folder string) error {
	names, err := snapshotNames(fs, folder)
	if err != nil || len(names) < 2 {
		return err
	}
	for _, name := range names[:len(names)-1] {
		if err := fs.Remove(filepath.Join(folder, name)); err != nil {
			return errors.Wrapf(err, "removing file %q", name)
		}
	}
	return nil
}
