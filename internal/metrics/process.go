package metrics

import (
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	gometrics "github.com/rcrowley/go-metrics"
)

// Names of the metrics that RegisterProcess adds.
const (
	processCPU        = "process.cpu_seconds"
	processMemory     = "process.memory_bytes"
	processGoroutines = "process.goroutines"
	processStart      = "process.start_unix_seconds"
)

// RegisterProcess adds gauges of this process's CPU time, memory, number of
// goroutines and start time to the registry. It returns an error if one of the
// names is taken.
func RegisterProcess(registry gometrics.Registry, start time.Time) error {
	gauges := map[string]any{
		processCPU:        gometrics.NewFunctionalGaugeFloat64(CPUSeconds),
		processMemory:     gometrics.NewFunctionalGauge(memoryBytes),
		processGoroutines: gometrics.NewFunctionalGauge(func() int64 { return int64(runtime.NumGoroutine()) }),
		processStart:      gometrics.NewFunctionalGauge(start.Unix),
	}
	for name, gauge := range gauges {
		if err := registry.Register(name, gauge); err != nil {
			return errors.Wrapf(err, "register metric %q", name)
		}
	}
	return nil
}

// CPUSeconds returns this process's user and system time; 0 if unknown.
func CPUSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// memoryBytes returns the memory that the Go runtime has obtained from the operating
// system and not returned.
func memoryBytes() int64 {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
	}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64()) - int64(samples[1].Value.Uint64()) //nolint:gosec // far below 2^63
}
