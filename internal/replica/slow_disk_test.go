package replica_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/storage"
)

// laggingDisk is a disk on which every sync of a file takes syncTime.
type laggingDisk struct {
	storage.Disk
	syncTime *atomic.Int64 // nanoseconds
}

func (d laggingDisk) Create(path string) (storage.File, error) {
	file, err := d.Disk.Create(path)
	return laggingFile{file, d.syncTime}, err
}

func (d laggingDisk) OpenAppend(path string) (storage.File, error) {
	file, err := d.Disk.OpenAppend(path)
	return laggingFile{file, d.syncTime}, err
}

type laggingFile struct {
	storage.File
	syncTime *atomic.Int64
}

func (f laggingFile) Sync() error {
	time.Sleep(time.Duration(f.syncTime.Load()))
	return f.File.Sync()
}

// With disks on which a sync took longer than the wait between two campaigns, each candidate began the next term before
// the voters had stored their votes for the last one: no leader was elected for as long as the disks were slow.
func TestLeaderIsElectedOnSlowDisks(t *testing.T) {
	for _, test := range []struct {
		syncTime   time.Duration
		lost, fast int // of the five members; the fast one is among the others
	}{
		{50 * time.Millisecond, 2, 0},
		{200 * time.Millisecond, 2, 0},
		{400 * time.Millisecond, 1, 0},
		{400 * time.Millisecond, 2, 1},
		{time.Second, 2, 0},
		{time.Second, 1, 1},
	} {
		t.Run(fmt.Sprintf("%v, %d lost, %d fast", test.syncTime, test.lost, test.fast), func(t *testing.T) {
			t.Parallel()
			syncTimes := make(map[string]*atomic.Int64)
			c := newFormedCluster(t, 5, func(config *replica.Config) {
				syncTimes[config.Name] = &atomic.Int64{}
				config.FileSystem = laggingDisk{syncTime: syncTimes[config.Name]}
				config.HeartbeatInterval, config.ElectionTimeout = 60*time.Millisecond, 300*time.Millisecond
				config.CallTimeout = 160 * time.Millisecond
			})
			c.write("before")
			leader := c.leader()
			others := c.otherNodes(leader)
			lost := append([]*node{leader}, others[:test.lost-1]...)
			for i, n := range others {
				if i < len(others)-test.fast {
					syncTimes[n.config.Name].Store(int64(test.syncTime))
				}
			}
			for _, n := range lost {
				n.gate.shut()
			}
			c.commitWithin(testTimeout, "after", lost...)
		})
	}
}

// commitWithin proposes a command at the current leader, other than those of except, until it is committed.
func (c *cluster) commitWithin(limit time.Duration, object string, except ...*node) {
	c.t.Helper()
	begin := time.Now()
	ctx, cancel := context.WithTimeout(c.t.Context(), limit)
	defer cancel()
	for err := replica.ErrNotLeader; err != nil; {
		if ctx.Err() != nil {
			c.t.Fatalf("nothing committed within %v: %v", limit, err)
		}
		_, err = c.leader(except...).replica.Propose(ctx, auditCommand(object))
	}
	c.t.Logf("committed after %v", time.Since(begin).Round(time.Millisecond))
}
