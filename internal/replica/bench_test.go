package replica_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/storage"
)

const (
	benchProposers    = 128
	benchCommandBytes = 200
	syncDelay         = 5 * time.Millisecond // as of the disk of a small VM
)

// BenchmarkCommit measures commits per second and their latency with concurrent
// proposers at the leader. Members communicate over loopback and sync to the
// local disk, in some cases with a delay added to each sync.
func BenchmarkCommit(b *testing.B) {
	for _, voters := range []int{1, 3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			benchmarkCommit(b, voters, storage.Disk{})
		})
		b.Run(fmt.Sprintf("voters=%d/sync=+5ms", voters), func(b *testing.B) {
			benchmarkCommit(b, voters, slowDisk{})
		})
	}
}

func benchmarkCommit(b *testing.B, voters int, disk storage.FileSystem) {
	c := newFormedCluster(b, voters, func(config *replica.Config) { config.FileSystem = disk })
	c.write("warm up")
	leaderNode := c.leader()
	leader := leaderNode.replica
	command := auditCommand(strings.Repeat("x", benchCommandBytes))
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex // guards latencies
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var proposers sync.WaitGroup
	b.ResetTimer()
	begin := time.Now()
	for range benchProposers {
		proposers.Go(func() {
			for remaining.Add(-1) >= 0 {
				sent := time.Now()
				if _, err := leader.Propose(context.Background(), command); err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				_ = latencies.RecordValue(time.Since(sent).Microseconds())
				mu.Unlock()
			}
		})
	}
	proposers.Wait()
	elapsed := time.Since(begin)
	b.StopTimer()
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "commits/s")
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
	syncs := metrics.GetOrRegisterTimer("replica.sync", leaderNode.config.Metrics)
	b.ReportMetric(syncs.Percentile(0.5)/float64(time.Millisecond), "sync-p50-ms")
	b.ReportMetric(syncs.Percentile(0.99)/float64(time.Millisecond), "sync-p99-ms")
	b.ReportMetric(0, "ns/op")
}

// slowDisk delays each sync of a file by syncDelay.
type slowDisk struct{ storage.Disk }

func (d slowDisk) Create(path string) (storage.File, error) {
	return withSlowSync(d.Disk.Create(path))
}

func (d slowDisk) OpenAppend(path string) (storage.File, error) {
	return withSlowSync(d.Disk.OpenAppend(path))
}

func withSlowSync(file storage.File, err error) (storage.File, error) {
	if err != nil {
		return nil, err
	}
	return &slowFile{File: file}, nil
}

type slowFile struct{ storage.File }

func (f *slowFile) Sync() error {
	time.Sleep(syncDelay)
	return f.File.Sync()
}
