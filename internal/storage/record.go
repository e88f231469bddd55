package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// recordKind is the type of a record's payload.
type recordKind byte

// Kinds of records and what their payloads hold. The values are stored in files.
const (
	recordSegment      recordKind = iota + 1 // first record of a segment: segmentHeader
	recordEntry                              // apiv1.LogEntry
	recordHardState                          // raft.HardState
	recordReset                              // a snapshot replaces the log before this record: resetMark
	recordSyncMark                           // everything before this record was synced: the record's own offset
	recordIdentity                           // the member's identity
	recordSnapshotMeta                       // apiv1.SnapshotMeta
	recordSnapshotData                       // a chunk of a snapshot's data
	recordSnapshotEnd                        // the size of a snapshot's data in bytes
)

// A record is a header of recordHeaderSize bytes and the payload:
//
//	0  kind, 1 byte
//	1  payload length, 4 bytes
//	5  CRC32C of the payload, 4 bytes
//	9  CRC32C of the preceding 9 bytes, 4 bytes
//
// The header has its own checksum, so that a corrupted length is not mistaken
// for a record that a crash left incomplete.
const (
	recordHeaderSize  = 13
	headerChecksumAt  = 9
	maxRecordPayload  = 64 << 20 // bytes
	firstRecordOffset = 0
)

var crc32cTable = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends the encoded record to buffer.
func appendRecord(buffer []byte, kind recordKind, payload []byte) []byte {
	start := len(buffer)
	buffer = append(buffer, byte(kind))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, crc32cTable))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(buffer[start:], crc32cTable))
	return append(buffer, payload...)
}

// recordHeader is a decoded record header.
type recordHeader struct {
	kind     recordKind
	length   int64  // of the payload, in bytes
	checksum uint32 // CRC32C of the payload
}

// decodeHeader decodes the record header at the start of data, which must hold
// at least recordHeaderSize bytes. It returns false if the header's checksum
// does not match.
func decodeHeader(data []byte) (recordHeader, bool) {
	sum := binary.LittleEndian.Uint32(data[headerChecksumAt:])
	if sum != crc32.Checksum(data[:headerChecksumAt], crc32cTable) {
		return recordHeader{}, false
	}
	return recordHeader{
		kind:     recordKind(data[0]),
		length:   int64(binary.LittleEndian.Uint32(data[1:])),
		checksum: binary.LittleEndian.Uint32(data[5:]),
	}, true
}

// record is a decoded record of a segment, snapshot or identity file.
type record struct {
	kind    recordKind
	offset  int64 // of its header in the file, in bytes
	payload []byte
}
