package storage_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
	"github.com/pistachioport/pistachioport/internal/storage"
)

var errKilled = errors.New("the process was killed")

// limitedRenameDisk fails all renames after the first remainingRenames ones.
type limitedRenameDisk struct {
	storage.Disk
	remainingRenames int
}

func (d *limitedRenameDisk) Rename(from, to string) error {
	if d.remainingRenames == 0 {
		return errKilled
	}
	d.remainingRenames--
	return d.Disk.Rename(from, to)
}

// damagedFolder returns a folder whose log has a corrupted byte, and the member's
// incarnation.
func damagedFolder(t *testing.T) (folder string, incarnation uint64) {
	t.Helper()
	is := is.New(t)
	folder = t.TempDir()
	store, _, err := storage.Open(storage.Options{Folder: folder})
	is.NoErr(err)
	meta := &apiv1.SnapshotMeta{Index: 1, Term: 1}
	is.NoErr(store.Form("cluster", &raft.Snapshot{Meta: meta}))
	for index := range uint64(10) {
		entry := &apiv1.LogEntry{Index: index + 2, Term: 1}
		is.NoErr(store.Append([]*apiv1.LogEntry{entry}, raft.HardState{Term: 1}))
		is.NoErr(store.Sync())
	}
	incarnation = store.Identity().Incarnation
	is.NoErr(store.Close())
	logs, err := filepath.Glob(filepath.Join(folder, "*.log"))
	is.NoErr(err)
	data, err := os.ReadFile(logs[0])
	is.NoErr(err)
	data[len(data)/2] ^= 0xff
	is.NoErr(os.WriteFile(logs[0], data, 0o600))
	return folder, incarnation
}

func TestRenameDamagedFilesStartsANewIncarnation(t *testing.T) {
	is := is.New(t)
	folder, before := damagedFolder(t)
	_, _, err := storage.Open(storage.Options{Folder: folder})
	var damage *storage.DamageError
	is.True(errors.As(err, &damage))
	is.NoErr(storage.RenameDamagedFiles(nil, folder))
	store, state, err := storage.Open(storage.Options{Folder: folder})
	is.NoErr(err)
	is.True(store.Identity().Incarnation != before)
	is.Equal(store.Identity().ClusterID, "")
	is.Equal(len(state.Entries), 0)
	is.NoErr(store.Close())
	renamed, err := filepath.Glob(filepath.Join(folder, "*.log.damaged"))
	is.NoErr(err)
	is.Equal(len(renamed), 1)
}

// If RenameDamagedFiles is interrupted after any number of renames, Open never
// returns the old incarnation without its synced data: it fails or starts a new
// incarnation.
func TestInterruptedRenameKeepsNoIdentityWithoutItsLog(t *testing.T) {
	for renames := range 3 {
		is := is.New(t)
		folder, before := damagedFolder(t)
		err := storage.RenameDamagedFiles(&limitedRenameDisk{remainingRenames: renames}, folder)
		finished := err == nil
		is.True(finished || errors.Is(err, errKilled))
		store, _, err := storage.Open(storage.Options{Folder: folder})
		if err == nil {
			is.True(store.Identity().Incarnation != before)
			is.NoErr(store.Close())
			continue
		}
		var damage *storage.DamageError
		is.True(errors.As(err, &damage))
		is.NoErr(storage.RenameDamagedFiles(nil, folder)) // on restart
		store, _, err = storage.Open(storage.Options{Folder: folder})
		is.NoErr(err)
		is.True(store.Identity().Incarnation != before)
		is.NoErr(store.Close())
	}
}
