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

	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/storage"
)

const (
	benchProposers    = 128
	benchCommandBytes = 200
	slowSync          = 5 * time.Millisecond // as on a small VM's disk
)

// BenchmarkCommit measures commits a second and their latency with concurrent
// proposers at the leader, over loopback and with the disk's syncs.
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
	c := formed(b, voters, func(config *replica.Config) { config.FileSystem = disk })
	c.write("warm up")
	leader := c.leader().replica
	command := note(strings.Repeat("x", benchCommandBytes))
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var left atomic.Int64
	left.Store(int64(b.N))
	var proposers sync.WaitGroup
	b.ResetTimer()
	begin := time.Now()
	for range benchProposers {
		proposers.Go(func() {
			for left.Add(-1) >= 0 {
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
	b.ReportMetric(0, "ns/op")
}

// slowDisk adds a delay to each sync of a file.
type slowDisk struct{ storage.Disk }

func (d slowDisk) Create(path string) (storage.File, error) {
	return slow(d.Disk.Create(path))
}

func (d slowDisk) OpenAppend(path string) (storage.File, error) {
	return slow(d.Disk.OpenAppend(path))
}

func slow(file storage.File, err error) (storage.File, error) {
	if err != nil {
		return nil, err
	}
	return &slowFile{File: file}, nil
}

type slowFile struct{ storage.File }

func (f *slowFile) Sync() error {
	time.Sleep(slowSync)
	return f.File.Sync()
}
