package replica_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/storage"
)

// longElectionTimeout is far above the time of a hand-over, so that a leader elected
// sooner was asked to campaign.
const longElectionTimeout = 5 * time.Second

func TestLeaderWithAFailedDiskHandsOver(t *testing.T) {
	is := is.New(t)
	disks := make(map[string]*failingDisk)
	c := newFormedCluster(t, 3, func(config *replica.Config) {
		disk := &failingDisk{}
		disks[config.Address] = disk
		config.FileSystem = disk
		config.ElectionTimeout = longElectionTimeout
	})
	c.write("before")
	leader := c.leader()
	disks[leader.config.Address].failSyncs.Store(true)
	begin := time.Now()
	_, err := leader.replica.Propose(context.Background(), auditCommand("during"))
	is.True(err == nil || errors.Is(err, replica.ErrIndeterminate)) // the others may commit it
	is.True(errors.Is(<-leader.runResult, storage.ErrUnavailable))
	leader.stop = nil
	leader.handler.Store(nil)
	c.write("elsewhere", leader)
	is.True(time.Since(begin) < longElectionTimeout/2)

	// The same process continues with the folder once the disk works.
	disks[leader.config.Address].failSyncs.Store(false)
	end := leader.replica.DurableEnd()
	leader.config.DurableEnd = &end
	leader.start()
	c.write("after")
	objects := c.awaitAgreement(c.nodes...)
	is.Equal(objects[0], "before")
	is.Equal(objects[len(objects)-1], "after")
}

// stallingDisk is a disk on which syncs of files wait while it is stalled.
type stallingDisk struct {
	storage.Disk
	mu sync.RWMutex // write-locked while stalled
}

func (d *stallingDisk) Create(path string) (storage.File, error) {
	file, err := d.Disk.Create(path)
	return &stallingFile{File: file, disk: d}, err
}

func (d *stallingDisk) OpenAppend(path string) (storage.File, error) {
	file, err := d.Disk.OpenAppend(path)
	return &stallingFile{File: file, disk: d}, err
}

type stallingFile struct {
	storage.File
	disk *stallingDisk
}

func (f *stallingFile) Sync() error {
	f.disk.mu.RLock()
	defer f.disk.mu.RUnlock()
	return f.File.Sync()
}

func TestStalledDiskIsReportedAndLosesTheLeadership(t *testing.T) {
	is := is.New(t)
	disks := make(map[string]*stallingDisk)
	c := newFormedCluster(t, 3, func(config *replica.Config) {
		disk := &stallingDisk{}
		disks[config.Address] = disk
		config.FileSystem = disk
	})
	c.write("before")
	leader := c.leader()
	stalled := func() int64 {
		return metrics.GetOrRegisterGauge("replica.disk.stalled", leader.config.Metrics).Value()
	}
	disk := disks[leader.config.Address]
	disk.mu.Lock()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	proposed := make(chan error, 1)
	go func() {
		_, err := leader.replica.Propose(ctx, auditCommand("during"))
		proposed <- err
	}()
	c.write("elsewhere", leader)
	eventually(t, "a report of the stall", func() bool { return stalled() == 1 && leader.replica.Status().Problem != "" })
	is.Equal(len(proposed), 0) // neither acknowledged nor refused
	disk.mu.Unlock()
	<-proposed
	eventually(t, "the end of the stall", func() bool { return stalled() == 0 && leader.replica.Status().Problem == "" })
	c.write("after")
	c.awaitAgreement(c.nodes...)
}
