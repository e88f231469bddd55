package storage

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// wal is the open write-ahead log. Records are written to the last segment.
type wal struct {
	fs          FileSystem
	folder      string
	segmentSize int64 // bytes after which the next segment is created

	segments  []segment // oldest first
	file      File
	buffer    []byte         // records not yet written
	synced    int64          // size of the current segment up to the last sync, in bytes
	hardState raft.HardState // as last recorded
}

func (w *wal) currentSegment() *segment {
	return &w.segments[len(w.segments)-1]
}

// bufferRecord buffers a record.
func (w *wal) bufferRecord(kind recordKind, payload []byte) {
	w.buffer = appendRecord(w.buffer, kind, payload)
}

// append buffers the entries, and the hard state if it changed.
func (w *wal) append(entries []*apiv1.LogEntry, hardState raft.HardState) error {
	for _, entry := range entries {
		payload, err := proto.Marshal(entry)
		if err != nil {
			return err
		}
		if len(payload) > maxRecordPayload {
			return errors.Newf("entry %d has %d bytes, more than %d", entry.GetIndex(), len(payload), maxRecordPayload)
		}
		w.bufferRecord(recordEntry, payload)
		w.currentSegment().maxIndex = max(w.currentSegment().maxIndex, entry.GetIndex())
	}
	if hardState != w.hardState {
		w.bufferRecord(recordHardState, encodeHardState(hardState))
		w.hardState = hardState
	}
	return nil
}

// bufferReset buffers the record that a snapshot replaces the log.
func (w *wal) bufferReset(meta *apiv1.SnapshotMeta) {
	w.bufferRecord(recordReset, encodeUint64s(meta.GetIndex(), meta.GetTerm()))
	w.currentSegment().maxIndex = max(w.currentSegment().maxIndex, meta.GetIndex())
}

// sync writes the buffered records and returns once they are durable. If the
// segment is then full, it begins the next one.
func (w *wal) sync() error {
	if len(w.buffer) == 0 {
		return nil
	}
	path := w.currentSegment().path(w.folder)
	if err := writeAll(w.file, w.buffer); err != nil {
		return errors.Wrapf(err, "writing file %q", path)
	}
	if err := w.file.Sync(); err != nil {
		return errors.Wrapf(err, "syncing file %q", path)
	}
	w.currentSegment().size += int64(len(w.buffer))
	w.synced = w.currentSegment().size
	w.buffer = w.buffer[:0]
	if w.currentSegment().size < w.segmentSize {
		return w.markSynced()
	}
	return w.rotate()
}

// markSynced writes a mark behind records that were synced, and doesn't wait until it is durable. If a loss of power takes
// the mark, these records are intact all the same; if they are damaged, the mark tells that from a torn write.
func (w *wal) markSynced() error {
	current := w.currentSegment()
	mark := appendRecord(nil, recordSyncMark, encodeUint64s(uint64(current.size)))
	if err := writeAll(w.file, mark); err != nil {
		return errors.Wrapf(err, "writing file %q", current.path(w.folder))
	}
	current.size += int64(len(mark))
	return nil
}

// rotate closes the current segment, which must be synced, and begins the next.
func (w *wal) rotate() error {
	if err := w.file.Close(); err != nil {
		return errors.Wrapf(err, "closing file %q", w.currentSegment().path(w.folder))
	}
	return w.createSegment(segment{sequence: w.currentSegment().sequence + 1}, w.currentSegment().size)
}

// createSegment durably creates a segment that begins with its header and the
// current hard state.
func (w *wal) createSegment(next segment, previousSize int64) error {
	path := next.path(w.folder)
	file, err := w.fs.Create(path)
	if err != nil {
		return errors.Wrapf(err, "creating file %q", path)
	}
	w.file = file
	header := appendRecord(nil, recordSegment, encodeUint64s(next.sequence, uint64(previousSize)))
	header = appendRecord(header, recordHardState, encodeHardState(w.hardState))
	if err := writeAll(file, header); err != nil {
		return errors.Wrapf(err, "writing file %q", path)
	}
	if err := file.Sync(); err != nil {
		return errors.Wrapf(err, "syncing file %q", path)
	}
	if err := w.fs.SyncFolder(w.folder); err != nil {
		return errors.Wrapf(err, "syncing folder %q", w.folder)
	}
	next.size = int64(len(header))
	w.synced = next.size
	w.segments = append(w.segments, next)
	return w.markSynced()
}

// compact deletes the oldest segments whose entries all precede index. The entry
// at index is kept: it shows that the log continues the snapshot there.
func (w *wal) compact(index uint64) error {
	n := 0
	for n+1 < len(w.segments) && w.segments[n].maxIndex < index {
		path := w.segments[n].path(w.folder)
		if err := w.fs.Remove(path); err != nil {
			return errors.Wrapf(err, "removing file %q", path)
		}
		// Sync each removal, so that a crash leaves no gap between the remaining
		// segments.
		if err := w.fs.SyncFolder(w.folder); err != nil {
			return errors.Wrapf(err, "syncing folder %q", w.folder)
		}
		n++
	}
	w.segments = w.segments[n:]
	return nil
}

func (w *wal) close() error {
	return w.file.Close()
}
