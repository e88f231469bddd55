package repair_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pistachioport/pistachioport/internal/storage"
)

// trace records what the processes of a core log, and how long their disks take for syncs.
type trace struct {
	mu      sync.Mutex
	log     bytes.Buffer
	longest time.Duration // sync since the last reset
	slow    int           // syncs since then of slowSync or more
	count   int
}

// diskSyncTime is how long a sync takes on the disks of the processes.
const diskSyncTime = 5 * time.Millisecond

// slowSync is a sync that takes longer than the time between two heartbeats of a leader.
const slowSync = 60 * time.Millisecond

func (t *trace) Write(line []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.log.Write(line)
}

func (t *trace) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.longest, t.slow, t.count = 0, 0, 0
}

func (t *trace) recordSync(begin time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	took := time.Since(begin)
	t.longest = max(t.longest, took)
	t.count++
	if took >= slowSync {
		t.slow++
	}
}

// syncs describes the syncs since the last reset.
func (t *trace) syncs() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d syncs, %d of them %v or more, the longest %d ms", t.count, t.slow, slowSync, t.longest.Milliseconds())
}

// printIfFailed prints the log of a test that has failed.
func (t *trace) printIfFailed(test *testing.T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if test.Failed() {
		test.Logf("log of the processes:\n%s", t.log.String())
	}
}

// tracedDisk is the disk of a process. A sync takes diskSyncTime, whatever the machine's own disk has to do, and is recorded.
type tracedDisk struct {
	storage.Disk
	trace *trace
}

func (d tracedDisk) SyncFolder(string) error {
	defer d.trace.recordSync(time.Now())
	time.Sleep(diskSyncTime)
	return nil
}

func (d tracedDisk) Create(path string) (storage.File, error) {
	file, err := d.Disk.Create(path)
	return tracedFile{file, d.trace}, err
}

func (d tracedDisk) OpenAppend(path string) (storage.File, error) {
	file, err := d.Disk.OpenAppend(path)
	return tracedFile{file, d.trace}, err
}

type tracedFile struct {
	storage.File
	trace *trace
}

func (f tracedFile) Sync() error {
	defer f.trace.recordSync(time.Now())
	time.Sleep(diskSyncTime)
	return nil
}
