package failure_test

import (
	"encoding/binary"
	"hash/crc32"
	"math/rand"
	"os"
)

// Layout of a record in the write-ahead log, as internal/storage/record.go defines it.
const (
	walHeaderBytes      = 13
	walLengthAt         = 1 // of the payload
	walPayloadSumAt     = 5
	walHeaderSumAt      = 9
	walSyncMarkKind     = 5
	walSectorBytes      = 512
	walMaxCopiedRecords = 6 // of which the torn write that is left behind consists
)

// loseUnsyncedWrites leaves the data folder as a loss of power may leave it. On a recordedDisk everything that was not synced
// may be lost; then, in half of the cases, a write that was on its way is left behind in the newest segment.
func loseUnsyncedWrites(p *soakProcess, r *rand.Rand) {
	if !p.servesControl() {
		return
	}
	if p.loseRecordedPower(r) && r.Intn(2) == 0 {
		return
	}
	tearNewestSegment(p, r)
}

// tearNewestSegment leaves the newest segment of the log as a loss of power may leave it. The records that can be read are
// kept: the process may have synced the last of them and acknowledged them before it wrote the mark. Only a mark at the end,
// which nothing waits for, may be lost, and behind it may be any part of a write that had not been synced.
func tearNewestSegment(p *soakProcess, r *rand.Rand) {
	path := newestLog(p)
	if path == "" {
		return
	}
	data, err := os.ReadFile(path)
	if err != nil {
		p.t.Error(err)
		return
	}
	records := walRecords(data)
	if len(records) == 0 {
		return
	}
	last := records[len(records)-1]
	end := last.end
	var torn []byte
	if data[last.start] == walSyncMarkKind && r.Intn(2) == 0 {
		end = last.start
		torn = append(torn, data[last.start:last.end]...)
	}
	for _, i := range r.Perm(len(records))[:min(len(records), 1+r.Intn(walMaxCopiedRecords))] {
		torn = append(torn, data[records[i].start:records[i].end]...)
	}
	torn = tearWrite(torn, r)
	if err := os.WriteFile(path, append(data[:end:end], torn...), 0o600); err != nil {
		p.t.Error(err)
	}
}

// tearWrite returns what a loss of power leaves of a write that begins with a record. That record is never whole: the others
// are copies of earlier ones, which must not be read as if the process had written them again.
func tearWrite(written []byte, r *rand.Rand) []byte {
	firstBytes := walHeaderBytes + int(binary.LittleEndian.Uint32(written[walLengthAt:]))
	switch r.Intn(5) {
	case 0: // nothing of it is left
		return nil
	case 1: // the file ends within the first record
		return written[:r.Intn(firstBytes)]
	case 2: // zeros from within the first record to the end of the file
		clear(written[r.Intn(firstBytes):])
		if written[0] != 0 && walRecordAt(written) > 0 { // the bytes that were cleared had been zeros
			clear(written)
		}
	case 3: // a sector of zeros from within the first record on; what follows is there
		from := r.Intn(firstBytes)
		clear(written[from:min(len(written), from+walSectorBytes)])
		if written[0] != 0 && walRecordAt(written) > 0 {
			clear(written[:walHeaderBytes])
		}
	default: // other bytes from within the first record on; what follows may be there
		from := r.Intn(firstBytes)
		_, _ = r.Read(written[from:min(len(written), from+1+r.Intn(walSectorBytes))])
		if walRecordAt(written) > 0 {
			written[0] ^= 0xff
		}
	}
	return written
}

// walRecord is the place of a record in a segment, in bytes.
type walRecord struct{ start, end int }

// walRecords returns the places of the records at the start of the segment, up to the first that can't be read.
func walRecords(data []byte) []walRecord {
	var found []walRecord
	for at := 0; ; {
		size := walRecordAt(data[at:])
		if size == 0 {
			return found
		}
		found = append(found, walRecord{at, at + size})
		at += size
	}
}

// walRecordAt returns the number of bytes of the record at the start of data, 0 if there is none that can be read.
func walRecordAt(data []byte) int {
	castagnoli := crc32.MakeTable(crc32.Castagnoli)
	if len(data) < walHeaderBytes || crc32.Checksum(data[:walHeaderSumAt], castagnoli) != binary.LittleEndian.Uint32(data[walHeaderSumAt:]) {
		return 0
	}
	size := walHeaderBytes + int(binary.LittleEndian.Uint32(data[walLengthAt:]))
	if len(data) < size || crc32.Checksum(data[walHeaderBytes:size], castagnoli) != binary.LittleEndian.Uint32(data[walPayloadSumAt:]) {
		return 0
	}
	return size
}
