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

var errBadDisk = errors.New("input/output error")

// badDisk fails every sync once it is broken.
type badDisk struct {
	storage.Disk
	broken atomic.Bool
}

func (d *badDisk) Create(path string) (storage.File, error) {
	file, err := d.Disk.Create(path)
	return &badFile{File: file, disk: d}, err
}

func (d *badDisk) OpenAppend(path string) (storage.File, error) {
	file, err := d.Disk.OpenAppend(path)
	return &badFile{File: file, disk: d}, err
}

type badFile struct {
	storage.File
	disk *badDisk
}

func (f *badFile) Sync() error {
	if f.disk.broken.Load() {
		return errBadDisk
	}
	return f.File.Sync()
}

func TestFailedSyncEndsTheMember(t *testing.T) {
	for _, size := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d voters", size), func(t *testing.T) {
			is := is.New(t)
			disks := make(map[string]*badDisk)
			c := formed(t, size, func(config *replica.Config) {
				disk := &badDisk{}
				disks[config.Address] = disk
				config.FileSystem = disk
			})
			c.write("before")
			leader := c.leader()
			disks[leader.config.Address].broken.Store(true)
			_, err := leader.replica.Propose(context.Background(), note("during"))
			if size == 1 {
				is.True(errors.Is(err, replica.ErrIndeterminate)) // never acknowledged
			}
			ended := <-leader.ended
			leader.stop = nil
			leader.handler.Store(nil)
			is.True(errors.Is(ended, errBadDisk))
			is.True(strings.Contains(ended.Error(), filepath.Base(leader.config.DataDir)))
			is.True(!leader.replica.Status().IsLeader)
			_, err = leader.replica.Propose(context.Background(), note("after"))
			is.True(errors.Is(err, replica.ErrNotLeader))
			is.True(errors.Is(leader.replica.Barrier(context.Background()), replica.ErrNotLeader))
			if size > 1 {
				c.write("elsewhere")
			}
		})
	}
}
