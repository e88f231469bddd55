package storage

import (
	"hash/crc32"
)

// sectorSize is the unit that a disk writes atomically, in bytes.
const sectorSize = 512

// scanRecords returns a file's records and the offset at which they end. If newest
// is set (the newest segment), it ignores incomplete data at the end, which a crash
// before a sync can leave. Any other damage is returned as a DamageError.
func scanRecords(path string, data []byte, newest bool) ([]record, int64, error) {
	var records []record
	offset := int64(firstRecordOffset)
	size := int64(len(data))
	for offset < size {
		rec, reason, torn := decodeRecord(data, offset)
		if reason == "" {
			records = append(records, rec)
			offset += recordHeaderSize + int64(len(rec.payload))
			continue
		}
		if newest && torn && !hasSyncMarkAfter(data, offset) {
			return records, offset, nil
		}
		return nil, 0, &DamageError{Path: path, Offset: offset, Reason: reason}
	}
	return records, offset, nil
}

// decodeRecord decodes the record at offset. On failure it returns the reason and
// whether the record is torn, i.e. can be the result of a crash during the write:
// the file ends before the record does, or a sector of the record was never
// written.
func decodeRecord(data []byte, offset int64) (rec record, reason string, torn bool) {
	rest := data[offset:]
	if len(rest) < recordHeaderSize {
		return record{}, "the record's header is incomplete", true
	}
	header, ok := decodeHeader(rest)
	if !ok {
		return record{}, "the record's header has a wrong checksum", hasUnwrittenSector(data, offset, recordHeaderSize)
	}
	if header.length > maxRecordPayload {
		return record{}, "the record's length exceeds the maximum", false
	}
	if int64(len(rest)) < recordHeaderSize+header.length {
		return record{}, "the record is incomplete", true
	}
	payload := rest[recordHeaderSize : recordHeaderSize+header.length]
	if crc32.Checksum(payload, crc32cTable) != header.checksum {
		return record{}, "the record's payload has a wrong checksum", hasUnwrittenSector(data, offset, recordHeaderSize+header.length)
	}
	return record{kind: header.kind, offset: offset, payload: payload}, "", false
}

// hasUnwrittenSector reports whether some sector's part of the given range is all
// zeros. A file grows before its sectors are written, and unwritten sectors read
// as zeros; sectors are written as a whole.
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

// hasSyncMarkAfter reports whether a sync mark after offset proves that the data
// at offset had been synced. A mark counts only at the position that it names.
func hasSyncMarkAfter(data []byte, offset int64) bool {
	for position := offset + 1; position+recordHeaderSize <= int64(len(data)); position++ {
		if recordKind(data[position]) != recordSyncMark {
			continue
		}
		rec, reason, _ := decodeRecord(data, position)
		var mark uint64
		if reason == "" && decodeUint64s(rec.payload, &mark) && mark == uint64(position) {
			return true
		}
	}
	return false
}
