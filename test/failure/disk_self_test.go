package failure_test

import (
	"bytes"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/storage"
)

const diskSelfTestRuns = 200

// TestRecordedDiskKeepsWhatIsSynced checks the rig's disk: after a loss of power a file that was synced has at least its synced
// content, and over all runs each kind of loss is seen.
func TestRecordedDiskKeepsWhatIsSynced(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewSource(1))
	seen := make(map[string]int)
	for range diskSelfTestRuns {
		folder := filepath.Join(t.TempDir(), "data")
		disk := &recordedDisk{}
		is.NoErr(disk.MkdirAll(folder))
		path := func(name string) string { return filepath.Join(folder, name) }
		synced := writeRecorded(t, disk, path("log"), "synced", true)
		is.NoErr(synced.Close())
		is.NoErr(writeRecorded(t, disk, path("identity.tmp"), "old", true).Close())
		is.NoErr(disk.Rename(path("identity.tmp"), path("identity")))
		is.NoErr(disk.SyncFolder(folder))

		// The next process appends, and replaces the file, and doesn't sync.
		disk = &recordedDisk{}
		is.NoErr(disk.MkdirAll(folder))
		log, err := disk.OpenAppend(path("log"))
		is.NoErr(err)
		for _, text := range []string{"first", "second"} {
			_, err = log.Write([]byte(text))
			is.NoErr(err)
		}
		is.NoErr(log.Close())
		is.NoErr(writeRecorded(t, disk, path("identity.tmp"), "new", true).Close())
		is.NoErr(disk.Rename(path("identity.tmp"), path("identity")))
		is.NoErr(writeRecorded(t, disk, path("unsynced"), "any", false).Close())

		p := &soakProcess{t: t, name: "self", dataDir: folder}
		is.True(p.loseRecordedPower(r))
		left, err := os.ReadFile(path("log"))
		is.NoErr(err)
		is.True(bytes.HasPrefix(left, []byte("synced")))
		switch tail := string(left[len("synced"):]); tail {
		case "", "first", "firstsecond", "\x00\x00\x00\x00\x00second":
			seen["log"+tail]++
		default:
			seen["torn"]++
		}
		identity, err := os.ReadFile(path("identity"))
		is.NoErr(err)
		is.True(string(identity) == "old" || string(identity) == "new")
		seen[string(identity)]++
		if _, err := os.Stat(path("unsynced")); err == nil {
			seen["unsynced name"]++
		} else {
			seen["no unsynced name"]++
		}
	}
	for _, kind := range []string{
		"log", "logfirst", "logfirstsecond", "log\x00\x00\x00\x00\x00second", "torn", "old", "new", "unsynced name", "no unsynced name",
	} {
		is.True(seen[kind] > 0) // each allowed state is drawn
	}
}

// writeRecorded creates a file.
func writeRecorded(t *testing.T, disk *recordedDisk, path, text string, sync bool) storage.File {
	t.Helper()
	is := is.New(t)
	file, err := disk.Create(path)
	is.NoErr(err)
	_, err = file.Write([]byte(text))
	is.NoErr(err)
	if sync {
		is.NoErr(file.Sync())
	}
	return file
}
