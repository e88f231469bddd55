package storage

import (
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const segmentSuffix = ".log"

// segment describes one file of the log.
type segment struct {
	sequence uint64 // position in the order of segments
	size     int64  // bytes
	maxIndex uint64 // highest index of the entries and reset marks in it
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
		return 0, errors.Wrapf(err, "file name %q is not a segment name", name)
	}
	return sequence, nil
}

// updateMaxIndex raises maxIndex to lastIndex, the index of the log's end after
// the record, if the record is an entry or a reset mark.
func (s *segment) updateMaxIndex(rec record, lastIndex uint64) {
	if rec.kind == recordEntry || rec.kind == recordReset {
		s.maxIndex = max(s.maxIndex, lastIndex)
	}
}
