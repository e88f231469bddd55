package admission

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// ratioUnit is the ratio that a value of the histogram stands for.
	ratioUnit      = 0.001
	maxRatioValue  = 100_000
	ratioDigits    = 2
	ratioWindow    = 1000 // ratios of a histogram, after which the next one begins
	minRatios      = 20   // needed before estimates are corrected
	lowQuantile    = 10   // percent of the runs that take less than by the low ratio
	quantileReuse  = 50   // ratios after which quantiles are read again
	minMean        = 0.25
	maxMean        = 4
	uncorrectRatio = 1
)

// Ratios learns for each queue how long tasks take in relation to their estimates. It remembers
// the last 1,000 to 2,000 runs of each.
type Ratios struct {
	queues map[string]*queueRatios
}

// queueRatios is what is known of one queue.
type queueRatios struct {
	current, previous ratioWindowData
	low               float64
	lowAt             int // number of ratios when low was read
}

// ratioWindowData holds the ratios of one window.
type ratioWindowData struct {
	histogram *hdrhistogram.Histogram
	sum       float64
	count     int
}

// NewRatios returns ratios of which none is known.
func NewRatios() *Ratios { return &Ratios{queues: make(map[string]*queueRatios)} }

// Record records a run that has taken so long. Runs without an estimate tell nothing.
func (r *Ratios) Record(queue string, estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	q := r.queues[queue]
	if q == nil {
		q = &queueRatios{current: newRatioWindow(), low: uncorrectRatio}
		r.queues[queue] = q
	}
	if q.current.count >= ratioWindow {
		q.previous, q.current, q.lowAt = q.current, newRatioWindow(), 0
	}
	ratio := float64(took) / float64(estimate)
	q.current.sum += ratio
	q.current.count++
	_ = q.current.histogram.RecordValue(min(max(1, int64(ratio/ratioUnit)), maxRatioValue))
	if q.current.count >= minRatios && q.current.count >= q.lowAt+quantileReuse {
		q.lowAt = q.current.count
		q.low = float64(q.current.histogram.ValueAtQuantile(lowQuantile)) * ratioUnit
	}
}

func newRatioWindow() ratioWindowData {
	return ratioWindowData{histogram: hdrhistogram.New(1, maxRatioValue, ratioDigits)}
}

// Mean returns the mean ratio of the queue, by which the work of many tasks is corrected: the
// mean tells what a sum comes to, also with few tasks that take very long.
func (r *Ratios) Mean(queue string) float64 {
	q := r.queues[queue]
	if q == nil {
		return uncorrectRatio
	}
	count := q.current.count + q.previous.count
	if count < minRatios {
		return uncorrectRatio
	}
	return min(max((q.current.sum+q.previous.sum)/float64(count), minMean), maxMean)
}

// Low returns the ratio below which a tenth of the runs stay, at most 1. With it a single job is
// judged, whose duration is not known.
func (r *Ratios) Low(queue string) float64 {
	q := r.queues[queue]
	if q == nil {
		return uncorrectRatio
	}
	return min(uncorrectRatio, q.low)
}
