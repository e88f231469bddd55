package storage

import (
	"hash/crc32"
)

// scanRecords returns a file's records and the offset at which they end. If newest
// is set (the newest segment), it ignores what follows the last readable record, unless
// a sync mark proves that it was synced: a loss of power leaves a write that was not
// synced torn at any byte. Any other damage is returned as a DamageError.
func scanRecords(path string, data []byte, newest bool) ([]record, int64, error) {
	var records []record
	offset := int64(firstRecordOffset)
	size := int64(len(data))
	for offset < size {
		rec, reason := decodeRecord(data, offset)
		if reason == "" {
			records = append(records, rec)
			offset += recordHeaderSize + int64(len(rec.payload))
			continue
		}
		if newest && !hasSyncMarkAfter(data, offset) {
			return records, offset, nil
		}
		return nil, 0, &DamageError{Path: path, Offset: offset, Reason: reason}
	}
	return records, offset, nil
}

// decodeRecord decodes the record at offset. On failure it returns the reason.
func decodeRecord(data []byte, offset int64) (rec record, reason string) {
	rest := data[offset:]
	if len(rest) < recordHeaderSize {
		return record{}, "the record's header is incomplete"
	}
	header, ok := decodeHeader(rest)
	if !ok {
		return record{}, "the record's header has a wrong checksum"
	}
	if header.length > maxRecordPayload {
		return record{}, "the record's length exceeds the maximum"
	}
	if int64(len(rest)) < recordHeaderSize+header.length {
		return record{}, "the record is incomplete"
	}
	payload := rest[recordHeaderSize : recordHeaderSize+header.length]
	if crc32.Checksum(payload, crc32cTable) != header.checksum {
		return record{}, "the record's payload has a wrong checksum"
	}
	return record{kind: header.kind, offset: offset, payload: payload}, ""
}

// hasSyncMarkAfter reports whether a sync mark after offset proves that the data
// at offset had been synced. A mark counts only at the position that it names.
func hasSyncMarkAfter(data []byte, offset int64) bool {
	for position := offset + 1; position+recordHeaderSize <= int64(len(data)); position++ {
		if recordKind(data[position]) != recordSyncMark {
			continue
		}
		rec, reason := decodeRecord(data, position)
		var mark uint64
		if reason == "" && decodeUint64s(rec.payload, &mark) && mark == uint64(position) {
			return true
		}
	}
	return false
}
