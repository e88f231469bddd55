package storage

import (
	"encoding/binary"

	"github.com/pistachioport/pistachioport/internal/raft"
)

// segmentHeader is the payload of a segment's first record.
type segmentHeader struct {
	sequence     uint64
	previousSize uint64 // of the preceding segment, in bytes; 0 for the first
}

// resetMark is the payload of a recordReset: the last index and term covered by
// the snapshot that replaced the log.
type resetMark struct {
	index uint64
	term  uint64
}

func encodeUint64s(values ...uint64) []byte {
	buffer := make([]byte, 0, len(values)*uint64Size)
	for _, value := range values {
		buffer = binary.LittleEndian.AppendUint64(buffer, value)
	}
	return buffer
}

const uint64Size = 8 // bytes

// decodeUint64s returns false if the data does not hold exactly len(values)
// integers.
func decodeUint64s(data []byte, values ...*uint64) bool {
	if len(data) != len(values)*uint64Size {
		return false
	}
	for i, value := range values {
		*value = binary.LittleEndian.Uint64(data[i*uint64Size:])
	}
	return true
}

func encodeHardState(state raft.HardState) []byte {
	return encodeUint64s(state.Term, state.Vote, state.Commit)
}

func decodeHardState(data []byte) (raft.HardState, bool) {
	var state raft.HardState
	ok := decodeUint64s(data, &state.Term, &state.Vote, &state.Commit)
	return state, ok
}
