package storage

import (
	"github.com/cockroachdb/errors"
)

// recoverWAL reads the log's segments, truncates an incomplete tail and opens the
// newest segment for appending. Everything in the returned replay is durable.
func recoverWAL(fs FileSystem, folder string, segmentSize int64) (*wal, *logReplay, error) {
	w := &wal{fs: fs, folder: folder, segmentSize: segmentSize}
	r := &logReplay{}
	names, err := namesWithSuffix(fs, folder, segmentSuffix)
	if err != nil {
		return nil, nil, err
	}
	for i, name := range names {
		if err := w.recoverSegment(r, name, i == len(names)-1); err != nil {
			return nil, nil, err
		}
	}
	w.hardState = r.hardState
	if w.file != nil {
		return w, r, nil
	}
	// There is no segment, or a crash interrupted the creation of the newest one.
	next, previousSize := segment{}, int64(0)
	if n := len(w.segments); n > 0 {
		next.sequence = w.segments[n-1].sequence + 1
		previousSize = w.segments[n-1].size
	}
	return w, r, w.createSegment(next, previousSize)
}

// recoverSegment replays the segment's records and adds the segment to the log. A
// newest segment without any complete record is skipped, to be created anew.
func (w *wal) recoverSegment(r *logReplay, name string, newest bool) error {
	sequence, err := parseSegmentName(name)
	if err != nil {
		return err
	}
	recovered := segment{sequence: sequence}
	path := recovered.path(w.folder)
	data, err := w.fs.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "reading file %q", path)
	}
	records, end, err := scanRecords(path, data, newest)
	if err != nil {
		return err
	}
	if len(records) == 0 && newest {
		return nil
	}
	if err := w.checkSegmentHeader(path, sequence, records); err != nil {
		return err
	}
	for _, rec := range records[1:] {
		if reason := r.apply(rec); reason != "" {
			return &DamageError{Path: path, Offset: rec.offset, Reason: reason}
		}
		recovered.updateMaxIndex(rec, r.lastIndex())
	}
	recovered.size = end
	isMarked := records[len(records)-1].kind == recordSyncMark
	w.segments = append(w.segments, recovered)
	if !newest {
		return nil
	}
	return w.openNewestSegment(path, end, int64(len(data)), isMarked)
}

// checkSegmentHeader checks that the segment's header matches its file name, and
// that the preceding segment is present and complete.
func (w *wal) checkSegmentHeader(path string, sequence uint64, records []record) error {
	var header segmentHeader
	if len(records) == 0 || records[0].kind != recordSegment ||
		!decodeUint64s(records[0].payload, &header.sequence, &header.previousSize) ||
		header.sequence != sequence {
		return &DamageError{Path: path, Reason: "the segment's header is missing or wrong"}
	}
	if len(w.segments) == 0 {
		return nil
	}
	previous := w.currentSegment()
	if previous.sequence+1 != sequence {
		return &DamageError{Path: path, Reason: "the segment before this one is missing"}
	}
	if previous.size != int64(header.previousSize) {
		return &DamageError{Path: previous.path(w.folder), Offset: previous.size, Reason: "the segment's end is missing"}
	}
	return nil
}

// openNewestSegment truncates the segment from size to end, where its valid
// records end, opens it for appending and makes the records durable. isMarked tells
// that they end with a sync mark.
func (w *wal) openNewestSegment(path string, end, size int64, isMarked bool) error {
	if end < size {
		if err := w.fs.Truncate(path, end); err != nil {
			return errors.Wrapf(err, "truncating file %q", path)
		}
	}
	file, err := w.fs.OpenAppend(path)
	if err != nil {
		return errors.Wrapf(err, "opening file %q", path)
	}
	w.file = file
	if err := file.Sync(); err != nil {
		return errors.Wrapf(err, "syncing file %q", path)
	}
	w.synced = end
	if isMarked {
		return nil
	}
	return w.markSynced()
}
