package failure_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// durations is a histogram of durations.
type durations struct {
	histogram *hdrhistogram.Histogram // microseconds
}

func newDurations() *durations {
	return &durations{histogram: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
}

func (d *durations) add(sample time.Duration) {
	_ = d.histogram.RecordValue(max(1, sample.Microseconds()))
}

// report reports the p50, the p99 and the maximum, in milliseconds, as metrics of
// the benchmark.
func (d *durations) report(b *testing.B, name string) {
	const microsecondsPerMs = 1000.0
	b.ReportMetric(float64(d.histogram.ValueAtQuantile(50))/microsecondsPerMs, name+"-p50-ms")
	b.ReportMetric(float64(d.histogram.ValueAtQuantile(99))/microsecondsPerMs, name+"-p99-ms")
	b.ReportMetric(float64(d.histogram.Max())/microsecondsPerMs, name+"-max-ms")
}

// cpuTime returns the user and system time that a process has used, from
// /proc/PID/stat, whose unit is a hundredth of a second.
func cpuTime(b *testing.B, pid int) time.Duration {
	b.Helper()
	const userField, systemField = 11, 12 // 0-based, after the command's name
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	ticks := 0
	for _, field := range []int{userField, systemField} {
		value, err := strconv.Atoi(fields[field])
		if err != nil {
			b.Fatal(err)
		}
		ticks += value
	}
	return time.Duration(ticks) * 10 * time.Millisecond
}

// residentBytes returns a process's resident memory, from /proc/PID/statm.
func residentBytes(b *testing.B, pid int) float64 {
	b.Helper()
	const residentField = 1 // pages
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		b.Fatal(err)
	}
	pages, err := strconv.Atoi(strings.Fields(string(text))[residentField])
	if err != nil {
		b.Fatal(err)
	}
	return float64(pages * os.Getpagesize())
}
