package storage

import (
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const segmentSuffix = ".log"

// segment is one file of the log.
type segment struct {
	sequence uint64
	size     int64  // bytes
	maxIndex uint64 // index of any entry or reset mark in it
}

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%016x%s", sequence, segmentSuffix)
}

func (s segment) path(folder string) string {
	return filepath.Join(folder, segmentName(s.sequence))
}

func parseSegmentName(name string) (uint64, error) {
	var sequence uint64
	if _, err := fmt.Sscanf(name, "%016x"+segmentSuffix, &sequence); err != nil {
		return 0, errors.Wrapf(err, "file name %q is not a segment's", name)
	}
	return sequence, nil
}

// updateMaxIndex raises the segment's highest index by what the record holds.
func (s *segment) updateMaxIndex(rec record, lastIndex uint64) {
	if rec.kind == recordEntry || rec.kind == recordReset {
		s.maxIndex = max(s.maxIndex, lastIndex)
	}
}
