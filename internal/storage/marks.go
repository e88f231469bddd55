package storage

import (
	"encoding/binary"

	"github.com/pistachioport/pistachioport/internal/raft"
)

// segmentHeader is the payload of a segment's first record.
type segmentHeader struct {
	sequence     uint64
	previousSize uint64 // of the segment before, in bytes; 0 for the first
}

// resetMark says that the log was replaced by a snapshot that covers index.
type resetMark struct {
	index uint64
	term  uint64
}

func encodeWords(words ...uint64) []byte {
	buffer := make([]byte, 0, len(words)*wordSize)
	for _, word := range words {
		buffer = binary.LittleEndian.AppendUint64(buffer, word)
	}
	return buffer
}

const wordSize = 8 // bytes

// decodeWords returns false if the data is not exactly so many words long.
func decodeWords(data []byte, words ...*uint64) bool {
	if len(data) != len(words)*wordSize {
		return false
	}
	for i, word := range words {
		*word = binary.LittleEndian.Uint64(data[i*wordSize:])
	}
	return true
}

func encodeHardState(state raft.HardState) []byte {
	return encodeWords(state.Term, state.Vote, state.Commit)
}

func decodeHardState(data []byte) (raft.HardState, bool) {
	var state raft.HardState
	ok := decodeWords(data, &state.Term, &state.Vote, &state.Commit)
	return state, ok
}
