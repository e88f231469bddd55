package slopes_test

import (
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"
)

const (
	trials          = 5 // per measurement of processor time; the median counts
	microsPerSecond = 1e6
)

// processorTime returns the user and system time that this process has used so far.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// stopwatch adds up the processor time between calls of start and stop.
type stopwatch struct {
	b     *testing.B
	began time.Duration
	total time.Duration
}

func (s *stopwatch) start() { s.began = processorTime(s.b) }
func (s *stopwatch) stop()  { s.total += processorTime(s.b) - s.began }

// medianMicroseconds returns the processor time of one call of work, in microseconds:
// the median over the trials, each of which calls work the given number of times.
// work starts and stops the watch around the part that is measured.
func medianMicroseconds(b *testing.B, calls int, work func(watch *stopwatch)) float64 {
	var all []float64
	for range trials {
		runtime.GC()
		watch := &stopwatch{b: b}
		for range calls {
			work(watch)
		}
		all = append(all, watch.total.Seconds()*microsPerSecond/float64(calls))
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// retainedHeap returns the result of build and the heap bytes that it retains.
func retainedHeap[T any](build func() T) (built T, bytes float64) {
	before := heapInUse()
	built = build()
	after := heapInUse()
	return built, float64(after) - float64(before)
}

// heapInUse returns the bytes of live heap objects, after two garbage collections.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
