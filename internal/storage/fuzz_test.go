package storage

import (
	"testing"
)

// FuzzLog opens a folder whose newest segment holds arbitrary bytes. Open must fail
// or return a log without gaps, and must return the same when repeated.
func FuzzLog(f *testing.F) {
	m, store := newFilledStore(f, 4)
	path := store.wal.currentSegment().path("data")
	valid := m.files[path].data
	f.Add([]byte{})
	f.Add(valid)
	f.Add(valid[:len(valid)-7])
	f.Add(append(append([]byte{}, valid...), make([]byte, 600)...))
	f.Add(valid[:recordHeaderSize])
	f.Fuzz(func(t *testing.T, data []byte) {
		m, store := newFilledStore(t, 0)
		m.files[store.wal.currentSegment().path("data")].data = data
		_, state, err := openStore(m)
		if err != nil {
			return
		}
		for i, entry := range state.Entries {
			if entry.GetIndex() != state.Snapshot.Index()+1+uint64(i) {
				t.Fatalf("entry %d has index %d after a snapshot at %d", i, entry.GetIndex(), state.Snapshot.Index())
			}
		}
		_, reopened := mustOpenStore(t, m)
		if len(reopened.Entries) != len(state.Entries) || reopened.HardState != state.HardState {
			t.Fatalf("first Open returned %d entries, second Open %d", len(state.Entries), len(reopened.Entries))
		}
	})
}
