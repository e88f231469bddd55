package replica_test

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/storage"
)

var errSync = errors.New("input/output error")

// failingDisk is a disk on which every sync of a file fails once failSyncs is set.
type failingDisk struct {
	storage.Disk
	failSyncs atomic.Bool
}

func (d *failingDisk) Create(path string) (storage.File, error) {
	file, err := d.Disk.Create(path)
	return &failingFile{File: file, disk: d}, err
}

func (d *failingDisk) OpenAppend(path string) (storage.File, error) {
	file, err := d.Disk.OpenAppend(path)
	return &failingFile{File: file, disk: d}, err
}

type failingFile struct {
	storage.File
	disk *failingDisk
}

func (f *failingFile) Sync() error {
	if f.disk.failSyncs.Load() {
		return errSync
	}
	return f.File.Sync()
}

func TestFailedSyncEndsTheMember(t *testing.T) {
	for _, size := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d voters", size), func(t *testing.T) {
			is := is.New(t)
			disks := make(map[string]*failingDisk)
			c := newFormedCluster(t, size, func(config *replica.Config) {
				disk := &failingDisk{}
				disks[config.Address] = disk
				config.FileSystem = disk
			})
			c.write("before")
			leader := c.leader()
			disks[leader.config.Address].failSyncs.Store(true)
			_, err := leader.replica.Propose(context.Background(), auditCommand("during"))
			if size == 1 {
				is.True(errors.Is(err, replica.ErrIndeterminate)) // never acknowledged
			}
			runResult := <-leader.runResult
			leader.stop = nil
			leader.handler.Store(nil)
			is.True(errors.Is(runResult, errSync))
			is.True(strings.Contains(runResult.Error(), filepath.Base(leader.config.DataDir)))
			is.True(!leader.replica.Status().IsLeader)
			_, err = leader.replica.Propose(context.Background(), auditCommand("after"))
			is.True(errors.Is(err, replica.ErrNotLeader))
			is.True(errors.Is(leader.replica.Barrier(context.Background()), replica.ErrNotLeader))
			if size > 1 {
				c.write("elsewhere")
			}
		})
	}
}
