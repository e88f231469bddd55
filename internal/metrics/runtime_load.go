package metrics

import (
	"runtime/metrics"
	"time"
)

// Names of the Go runtime's metrics that RuntimeLoadMeter reads.
const (
	runtimeSchedulingLatencies = "/sched/latencies:seconds"
	runtimeGCSeconds           = "/cpu/classes/gc/total:cpu-seconds"
)

// RuntimeLoad tells how busy the Go runtime was in a span of time.
type RuntimeLoad struct {
	// GC is the estimated CPU time of the garbage collector, as known after its last cycle.
	GC time.Duration
	// RunnableP99 is the time for which 99 of 100 goroutines that became runnable waited for the
	// processor at most, rounded up to a bucket of the runtime's histogram.
	RunnableP99 time.Duration
}

// RuntimeLoadMeter measures the load of the Go runtime between two readings. The zero value
// measures from the start of the process. It must not be used concurrently.
type RuntimeLoadMeter struct {
	lastWaits []uint64
	lastGC    float64 // seconds
}

// Read returns the load since the last reading.
func (m *RuntimeLoadMeter) Read() RuntimeLoad {
	samples := []metrics.Sample{{Name: runtimeSchedulingLatencies}, {Name: runtimeGCSeconds}}
	metrics.Read(samples)
	waits, gc := samples[0].Value.Float64Histogram(), samples[1].Value.Float64()
	counts := append([]uint64(nil), waits.Counts...)
	total := uint64(0)
	for i := range counts {
		if i < len(m.lastWaits) {
			counts[i] -= m.lastWaits[i]
		}
		total += counts[i]
	}
	load := RuntimeLoad{GC: seconds(gc - m.lastGC), RunnableP99: percentile99(counts, waits.Buckets, total)}
	m.lastWaits, m.lastGC = append(m.lastWaits[:0], waits.Counts...), gc
	return load
}

// percentile99 returns the upper bound of the bucket that holds the 99th percentile.
func percentile99(counts []uint64, bounds []float64, total uint64) time.Duration {
	below := uint64(0)
	for i, count := range counts {
		below += count
		if total > 0 && below*100 >= total*99 {
			return seconds(bounds[min(i+1, len(bounds)-2)]) // the last bound is infinite
		}
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
