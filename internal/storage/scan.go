package storage

import (
	"hash/crc32"
)

// sectorSize is the unit that a disk writes whole, in bytes.
const sectorSize = 512

// scanSegment returns a segment's records and the offset at which they end.
// Incomplete data at the end of the newest segment is what a crash before a
// sync leaves, and is left out. All other damage is a DamageError.
func scanSegment(path string, data []byte, newest bool) ([]record, int64, error) {
	var records []record
	offset := int64(firstRecordOffset)
	size := int64(len(data))
	for offset < size {
		found, reason, torn := readRecord(data, offset)
		if reason == "" {
			records = append(records, found)
			offset += recordHeaderSize + int64(len(found.payload))
			continue
		}
		if newest && torn && !syncedAfter(data, offset) {
			return records, offset, nil
		}
		return nil, 0, &DamageError{Path: path, Offset: offset, Reason: reason}
	}
	return records, offset, nil
}

// readRecord decodes the record at offset. If it can't, it returns the reason
// and whether a crash during the write explains it: the file ends before the
// record does, or a sector of the record was never written.
func readRecord(data []byte, offset int64) (found record, reason string, torn bool) {
	rest := data[offset:]
	if len(rest) < recordHeaderSize {
		return record{}, "the record's header is incomplete", true
	}
	header, ok := decodeHeader(rest)
	if !ok {
		return record{}, "the record's header has a wrong checksum", hasUnwrittenSector(data, offset, recordHeaderSize)
	}
	if header.length > maxRecordPayload {
		return record{}, "the record is longer than any written", false
	}
	if int64(len(rest)) < recordHeaderSize+header.length {
		return record{}, "the record is incomplete", true
	}
	payload := rest[recordHeaderSize : recordHeaderSize+header.length]
	if crc32.Checksum(payload, castagnoli) != header.checksum {
		return record{}, "the record's payload has a wrong checksum", hasUnwrittenSector(data, offset, recordHeaderSize+header.length)
	}
	return record{kind: header.kind, offset: offset, payload: payload}, "", false
}

// hasUnwrittenSector reports whether the part of some sector that lies in the
// given range is all zero. A file grows before its sectors are written, and
// unwritten ones read as zeros; a write changes whole sectors.
func hasUnwrittenSector(data []byte, offset, length int64) bool {
	end := offset + length
	for offset < end {
		next := min(end, (offset/sectorSize+1)*sectorSize)
		if isZero(data[offset:next]) {
			return true
		}
		offset = next
	}
	return false
}

func isZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}

// syncedAfter reports whether a record after offset proves that the data at
// offset was synced before.
func syncedAfter(data []byte, offset int64) bool {
	for at := offset + 1; at+recordHeaderSize <= int64(len(data)); at++ {
		if recordKind(data[at]) != recordSynced {
			continue
		}
		found, reason, _ := readRecord(data, at)
		var mark uint64
		if reason == "" && decodeWords(found.payload, &mark) && mark == uint64(at) {
			return true
		}
	}
	return false
}
