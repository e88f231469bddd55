package failure_test

import (
	"encoding/binary"
	"hash/crc32"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// TestPowerLossKeepsSyncedRecords checks the fault of the rig itself: records that may have been acknowledged stay, in
// order, and no other can be read behind them.
func TestPowerLossKeepsSyncedRecords(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewSource(1))
	for range 2000 {
		var data []byte
		for range 1 + random.Intn(8) {
			payload := make([]byte, random.Intn(1500))
			_, _ = random.Read(payload)
			data = appendWALRecord(data, 2, payload)
			if random.Intn(2) == 0 {
				data = appendWALRecord(data, walSyncMarkKind, binary.LittleEndian.AppendUint64(nil, uint64(len(data))))
			}
		}
		before := walRecords(data)
		p := &soakProcess{t: t, dataDir: t.TempDir()}
		path := filepath.Join(p.dataDir, "0000000000000001.log")
		is.NoErr(os.WriteFile(path, data, 0o600))
		loseUnsyncedWrites(p, random)
		left, err := os.ReadFile(path)
		is.NoErr(err)
		kept := before
		if after := walRecords(left); len(after) < len(before) {
			is.True(data[before[len(before)-1].start] == walSyncMarkKind) // only a mark may be lost
			kept = before[:len(before)-1]
			is.Equal(after, kept)
		} else {
			is.Equal(after, before)
		}
		end := kept[len(kept)-1].end
		is.Equal(left[:end], data[:end])
	}
}

func appendWALRecord(data []byte, kind byte, payload []byte) []byte {
	castagnoli := crc32.MakeTable(crc32.Castagnoli)
	start := len(data)
	data = binary.LittleEndian.AppendUint32(append(data, kind), uint32(len(payload)))
	data = binary.LittleEndian.AppendUint32(data, crc32.Checksum(payload, castagnoli))
	data = binary.LittleEndian.AppendUint32(data, crc32.Checksum(data[start:], castagnoli))
	return append(data, payload...)
}
