package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// recordKind tells what a record's payload is.
type recordKind byte

const (
	recordSegment      recordKind = iota + 1 // first of a segment: segmentHeader
	recordEntry                              // apiv1.LogEntry
	recordHardState                          // raft.HardState
	recordReset                              // the log is replaced by a snapshot: resetMark
	recordSyncMark                           // all before this record was synced: its own offset
	recordIdentity                           // the member's identity
	recordSnapshotMeta                       // apiv1.SnapshotMeta
	recordSnapshotData                       // a part of a snapshot's data
	recordSnapshotEnd                        // the size of a snapshot's data in bytes
)

// A record is a header of recordHeaderSize bytes and the payload:
//
//	0  kind, 1 byte
//	1  payload length, 4 bytes
//	5  CRC32C of the payload, 4 bytes
//	9  CRC32C of the preceding 9 bytes, 4 bytes
//
// The header has a checksum of its own, so that a damaged length is not taken
// for a record that a crash cut short.
const (
	recordHeaderSize  = 13
	headerChecksumAt  = 9
	maxRecordPayload  = 64 << 20 // bytes
	firstRecordOffset = 0
)

var crc32cTable = crc32.MakeTable(crc32.Castagnoli)

func appendRecord(buffer []byte, kind recordKind, payload []byte) []byte {
	start := len(buffer)
	buffer = append(buffer, byte(kind))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, crc32cTable))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(buffer[start:], crc32cTable))
	return append(buffer, payload...)
}

// recordHeader is a decoded header.
type recordHeader struct {
	kind     recordKind
	length   int64
	checksum uint32
}

// decodeHeader returns false if the header's checksum is wrong. The data must
// hold recordHeaderSize bytes.
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

// record is a record found in a segment.
type record struct {
	kind    recordKind
	offset  int64 // of its header
	payload []byte
}
