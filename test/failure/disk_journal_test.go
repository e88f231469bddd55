package failure_test

import (
	"encoding/binary"
	"os"

	"github.com/cockroachdb/errors"
)

// diskJournalSuffix is appended to the path of a data folder to name the journal of the changes in it.
const diskJournalSuffix = ".journal"

// diskChangeKind is the kind of a change in a data folder.
type diskChangeKind byte

const (
	diskCreate     diskChangeKind = iota + 1 // name, file
	diskWrite                                // file, at: offset; data
	diskTruncate                             // file, at: size
	diskSync                                 // file, at: number of changes that the sync covers
	diskRename                               // name, to, file
	diskRemove                               // name
	diskSyncFolder                           // at: number of changes that the sync covers
)

// diskChange is a change in a data folder, or a completed sync.
type diskChange struct {
	kind     diskChangeKind
	file     uint64 // identifies the content, whatever its name
	at       uint64
	name, to string
	data     []byte
}

// Layout of a change in the journal: the header, then both names and the data.
const (
	diskFileAt      = 1
	diskPositionAt  = 9
	diskNameBytesAt = 17
	diskToBytesAt   = 19
	diskDataBytesAt = 21
	diskHeaderBytes = 25
)

func (c diskChange) append(buffer []byte) []byte {
	buffer = append(buffer, byte(c.kind))
	buffer = binary.LittleEndian.AppendUint64(buffer, c.file)
	buffer = binary.LittleEndian.AppendUint64(buffer, c.at)
	buffer = binary.LittleEndian.AppendUint16(buffer, uint16(len(c.name)))
	buffer = binary.LittleEndian.AppendUint16(buffer, uint16(len(c.to)))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(c.data)))
	buffer = append(buffer, c.name...)
	buffer = append(buffer, c.to...)
	return append(buffer, c.data...)
}

// diskChangeAt decodes the change at the start of data, and returns its size; 0 if it is incomplete.
func diskChangeAt(data []byte) (diskChange, int) {
	if len(data) < diskHeaderBytes {
		return diskChange{}, 0
	}
	nameBytes := int(binary.LittleEndian.Uint16(data[diskNameBytesAt:]))
	toBytes := int(binary.LittleEndian.Uint16(data[diskToBytesAt:]))
	dataBytes := int(binary.LittleEndian.Uint32(data[diskDataBytesAt:]))
	size := diskHeaderBytes + nameBytes + toBytes + dataBytes
	if len(data) < size {
		return diskChange{}, 0
	}
	names := data[diskHeaderBytes : diskHeaderBytes+nameBytes+toBytes]
	return diskChange{
		kind: diskChangeKind(data[0]),
		file: binary.LittleEndian.Uint64(data[diskFileAt:]),
		at:   binary.LittleEndian.Uint64(data[diskPositionAt:]),
		name: string(names[:nameBytes]), to: string(names[nameBytes:]),
		data: data[size-dataBytes : size],
	}, size
}

// readDiskJournal returns the state of the data folder that its journal describes, and the size of the journal's complete
// changes. A journal that doesn't exist is empty.
func readDiskJournal(path string) (*diskModel, int64, error) {
	m := newDiskModel()
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return m, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	for at := 0; ; {
		change, size := diskChangeAt(data[at:])
		if size == 0 {
			return m, int64(at), nil
		}
		m.apply(change)
		at += size
	}
}
