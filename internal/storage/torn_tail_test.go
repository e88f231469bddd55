package storage

import (
	"bytes"
	"fmt"
	"testing"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// A write that a loss of power tore anywhere but at the end of the file or at a sector was taken for damage of synced
// records: the member gave up its identity, and its vote was lost.
func TestTornTailCostsNoIdentity(t *testing.T) {
	tails := []struct {
		name string
		fill func(unsynced []byte, cut int) []byte
	}{
		{"the file ends", func(unsynced []byte, cut int) []byte { return unsynced[:cut] }},
		{"zeros to the old end", func(unsynced []byte, cut int) []byte {
			return append(bytes.Clone(unsynced[:cut]), make([]byte, len(unsynced)-cut)...)
		}},
		{"64 bytes of zeros", func(unsynced []byte, cut int) []byte {
			tail := bytes.Clone(unsynced)
			clear(tail[cut:min(len(tail), cut+64)])
			return tail
		}},
		{"other bytes", func(unsynced []byte, cut int) []byte {
			return append(bytes.Clone(unsynced[:cut]), bytes.Repeat([]byte{0x5a}, len(unsynced)-cut)...)
		}},
		{"the first bytes are missing", func(unsynced []byte, cut int) []byte {
			tail := bytes.Clone(unsynced)
			clear(tail[:cut])
			return tail
		}},
	}
	for _, entries := range []int{1, 3} {
		for _, tail := range tails {
			t.Run(fmt.Sprintf("%d entries, %s", entries, tail.name), func(t *testing.T) {
				m, store := newFilledStore(t, 3)
				path := store.wal.currentSegment().path("data")
				synced := bytes.Clone(m.files[path].synced)
				identity := store.Identity()
				var batch []*apiv1.LogEntry
				for i := range entries {
					batch = append(batch, &apiv1.LogEntry{Index: uint64(5 + i), Term: 1, Data: bytes.Repeat([]byte{0xa5}, 100)})
				}
				if err := store.Append(batch, raft.HardState{Term: 1, Commit: 4}); err != nil {
					t.Fatal(err)
				}
				// The batch is on the way to the disk when the power is lost.
				unsynced := append(bytes.Clone(m.files[path].data[len(synced):]), store.wal.buffer...)
				damaged := 0
				for cut := range unsynced {
					torn := newMemoryFileSystem()
					for name, file := range m.files {
						data := bytes.Clone(file.synced)
						torn.files[name] = &memoryFile{data: data, synced: bytes.Clone(data)}
					}
					torn.durableNames = copyNames(torn.files)
					torn.files[path].data = append(torn.files[path].data, tail.fill(unsynced, cut)...)
					reopened, state, err := openStore(torn)
					if err != nil {
						damaged++
						continue
					}
					if reopened.Identity() != identity || len(state.Entries) < 3 || len(state.Entries) > 3+entries {
						t.Fatalf("torn after %d bytes: identity %v, %d entries", cut, reopened.Identity(), len(state.Entries))
					}
					next := state.Entries[len(state.Entries)-1].GetIndex() + 1
					appendEntry(t, reopened, next)
					if _, state = mustOpenStore(t, torn); state.Entries[len(state.Entries)-1].GetIndex() != next {
						t.Fatalf("torn after %d bytes: the entry appended after it is missing", cut)
					}
				}
				if damaged > 0 {
					t.Errorf("taken for damaged after %d of %d tears", damaged, len(unsynced))
				}
			})
		}
	}
}
