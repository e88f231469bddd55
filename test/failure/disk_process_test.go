package failure_test

import (
	"context"
	"math/rand"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	command "github.com/pistachioport/pistachioport/internal/command/daemon"
	"github.com/pistachioport/pistachioport/internal/daemon"
)

// recordedDiskEnv is set if the test binary is to run as the daemon, with a recordedDisk.
const recordedDiskEnv = "PISTACHIOPORT_TEST_RECORDED_DISK"

// runRecordedDaemon runs the daemon with a recordedDisk and returns its exit code.
func runRecordedDaemon() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	run := func(ctx context.Context) error {
		return daemon.RunOnPlatformWithDisk(ctx, &recordedDisk{syncTime: diskSyncTime})
	}
	return command.Execute(ctx, os.Stdout, os.Stderr, os.Args[1:], daemon.Run, run)
}

// buildRecordedDaemon builds the binary for processes with a recordedDisk, which is this one without the race detector.
var buildRecordedDaemon = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(daemonPath), "recorded.test")
	build := exec.Command("go", "test", "-c", "-o", path, ".")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	return path, build.Run()
})

// recordedDaemonPath returns the path of the binary for processes with a recordedDisk.
func recordedDaemonPath(t testing.TB) string {
	t.Helper()
	path, err := buildRecordedDaemon()
	if err != nil {
		t.Fatal("build the daemon with a recorded disk: ", err)
	}
	return path
}

// loseRecordedPower leaves the data folder as a loss of power may leave it. It reports whether the folder has a journal.
func (p *soakProcess) loseRecordedPower(r *rand.Rand) bool {
	journal := p.dataDir + diskJournalSuffix
	if _, err := os.Stat(journal); err != nil {
		return false
	}
	m, _, err := readDiskJournal(journal)
	if err != nil {
		p.t.Error(err)
		return true
	}
	if _, err := os.Stat(p.dataDir); err != nil { // the disk was lost, and the process has not opened the new one
		return true
	}
	contents, names := m.unsyncedChanges()
	p.t.Logf("%s loses power with %d writes and %d names that are not synced", p.name, contents, names)
	left := m.losePower(r)
	if _, kept := left[diskIdentityName]; !kept && m.hasLog() {
		p.t.Errorf("%s: the identity %x was used before it was durable", p.name, m.incarnation())
	}
	if err := replaceDisk(p.dataDir, left); err != nil {
		p.t.Error(err)
	}
	return true
}

// replaceDisk replaces the content of a data folder, and its journal by one after which all of it is durable.
func replaceDisk(folder string, files map[string][]byte) error {
	if err := os.RemoveAll(folder); err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	var journal []byte
	id, changes := uint64(0), uint64(0)
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(folder, name), data, 0o600); err != nil {
			return err
		}
		journal = diskChange{kind: diskCreate, name: name, file: id}.append(journal)
		journal = diskChange{kind: diskWrite, file: id, data: data}.append(journal)
		changes += 2
		journal = diskChange{kind: diskSync, file: id, at: changes}.append(journal)
		changes++
		id++
	}
	return os.WriteFile(folder+diskJournalSuffix, journal, 0o600)
}
