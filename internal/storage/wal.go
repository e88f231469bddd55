package storage

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// wal is the open write-ahead log. The last segment is the one written to.
type wal struct {
	fs          FileSystem
	folder      string
	segmentSize int64

	segments []segment
	file     File
	buffer   []byte // records not yet written
	dirty    bool   // records were written since the last sync
	state    raft.HardState
}

func (w *wal) current() *segment {
	return &w.segments[len(w.segments)-1]
}

// add buffers a record.
func (w *wal) add(kind recordKind, payload []byte) {
	if !w.dirty {
		w.dirty = true
		at := w.current().size + int64(len(w.buffer))
		w.buffer = appendRecord(w.buffer, recordSynced, encodeWords(uint64(at)))
	}
	w.buffer = appendRecord(w.buffer, kind, payload)
}

func (w *wal) append(entries []*apiv1.LogEntry, state raft.HardState) error {
	for _, entry := range entries {
		payload, err := proto.Marshal(entry)
		if err != nil {
			return err
		}
		if len(payload) > maxRecordPayload {
			return errors.Newf("entry %d has %d bytes, more than %d", entry.GetIndex(), len(payload), maxRecordPayload)
		}
		w.add(recordEntry, payload)
		w.current().highest = max(w.current().highest, entry.GetIndex())
	}
	if state != w.state {
		w.add(recordHardState, encodeHardState(state))
		w.state = state
	}
	return nil
}

// markReset records that a snapshot replaces the log.
func (w *wal) markReset(meta *apiv1.SnapshotMeta) {
	w.add(recordReset, encodeWords(meta.GetIndex(), meta.GetTerm()))
	w.current().highest = max(w.current().highest, meta.GetIndex())
}

// sync writes the buffered records and returns once they are durable. A full
// segment is then followed by a new one.
func (w *wal) sync() error {
	if !w.dirty {
		return nil
	}
	path := w.current().path(w.folder)
	if err := writeAll(w.file, w.buffer); err != nil {
		return errors.Wrapf(err, "writing file %q", path)
	}
	if err := w.file.Sync(); err != nil {
		return errors.Wrapf(err, "syncing file %q", path)
	}
	w.current().size += int64(len(w.buffer))
	w.buffer = w.buffer[:0]
	w.dirty = false
	if w.current().size < w.segmentSize {
		return nil
	}
	return w.rotate()
}

// rotate begins the next segment. All before it is synced.
func (w *wal) rotate() error {
	if err := w.file.Close(); err != nil {
		return errors.Wrapf(err, "closing file %q", w.current().path(w.folder))
	}
	return w.begin(segment{sequence: w.current().sequence + 1}, w.current().size)
}

// begin makes a segment with its header and the present hard state.
func (w *wal) begin(next segment, previousSize int64) error {
	path := next.path(w.folder)
	file, err := w.fs.Create(path)
	if err != nil {
		return errors.Wrapf(err, "creating file %q", path)
	}
	w.file = file
	head := appendRecord(nil, recordSegment, encodeWords(next.sequence, uint64(previousSize)))
	head = appendRecord(head, recordHardState, encodeHardState(w.state))
	if err := writeAll(file, head); err != nil {
		return errors.Wrapf(err, "writing file %q", path)
	}
	if err := file.Sync(); err != nil {
		return errors.Wrapf(err, "syncing file %q", path)
	}
	if err := w.fs.SyncFolder(w.folder); err != nil {
		return errors.Wrapf(err, "syncing folder %q", w.folder)
	}
	next.size = int64(len(head))
	w.segments = append(w.segments, next)
	return nil
}

// compact deletes the oldest segments whose entries all come before index. The
// entry at index stays, to show that the log continues the snapshot there.
func (w *wal) compact(index uint64) error {
	n := 0
	for n+1 < len(w.segments) && w.segments[n].highest < index {
		path := w.segments[n].path(w.folder)
		if err := w.fs.Remove(path); err != nil {
			return errors.Wrapf(err, "removing file %q", path)
		}
		// A crash must not leave a gap between the remaining segments.
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
