package storage

// Position is a place in the write-ahead log.
type Position struct {
	Segment uint64 // sequence of the segment
	Offset  int64  // bytes from the segment's start
}

// DurableEnd returns the end of the records that are known to be durable. It stays valid
// after a failed change.
func (s *Store) DurableEnd() Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.durableEnd
}

// recordDurableEnd notes the end of the records that the last sync made durable. A sync mark may follow it.
func (s *Store) recordDurableEnd() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.durableEnd = s.wal.end()
}

// end returns the end of the records that are known to be durable.
func (w *wal) end() Position {
	return Position{Segment: w.currentSegment().sequence, Offset: w.synced}
}

// discardAfter removes the records after end. After a failed sync, the kernel may serve
// them from its cache as if they were durable, and a later sync would not write them.
func discardAfter(fs FileSystem, folder string, end Position) error {
	names, err := namesWithSuffix(fs, folder, segmentSuffix)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := discardSegmentAfter(fs, folder, name, end); err != nil {
			return err
		}
	}
	return fs.SyncFolder(folder)
}

func discardSegmentAfter(fs FileSystem, folder, name string, end Position) error {
	sequence, err := parseSegmentName(name)
	if err != nil {
		return err
	}
	path := segment{sequence: sequence}.path(folder)
	switch {
	case sequence > end.Segment:
		return fs.Remove(path)
	case sequence == end.Segment:
		return fs.Truncate(path, end.Offset)
	default:
		return nil
	}
}
