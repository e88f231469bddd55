package metrics

import (
	"maps"
	"slices"

	gometrics "github.com/rcrowley/go-metrics"
)

// Kinds of metrics, as named in the Prometheus text format.
const (
	kindCounter = "counter"
	kindGauge   = "gauge"
	kindSummary = "summary"
)

var quantiles = []float64{0.5, 0.9, 0.99}

const secondsPerNanosecond = 1e-9 // seconds

// sample is a reading of one metric.
type sample struct {
	Name      string
	Kind      string
	Unit      string  // suffix of the exposed name; empty: none
	Value     float64 // of a counter or gauge
	Count     int64   // of a summary, as are the fields below
	Sum       float64
	Quantiles []float64 // in the order of the variable quantiles
}

// collectSamples reads all metrics of known types, sorted by name.
func collectSamples(registry gometrics.Registry) []sample {
	byName := map[string]sample{}
	registry.Each(func(name string, metric any) {
		if s, ok := sampleOf(name, metric); ok {
			byName[name] = s
		}
	})
	samples := make([]sample, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		samples = append(samples, byName[name])
	}
	return samples
}

// sampleOf returns false for a metric of an unknown type. Times are in seconds.
func sampleOf(name string, metric any) (sample, bool) {
	s := sample{Name: name}
	switch m := metric.(type) {
	case gometrics.Counter:
		s.Kind, s.Value = kindCounter, float64(m.Count())
	case gometrics.Gauge:
		s.Kind, s.Value = kindGauge, float64(m.Value())
	case gometrics.GaugeFloat64:
		s.Kind, s.Value = kindGauge, m.Value()
	case gometrics.Meter:
		s.Kind, s.Value = kindCounter, float64(m.Count())
	case gometrics.Histogram:
		snapshot := m.Snapshot()
		s.Kind, s.Count, s.Sum = kindSummary, snapshot.Count(), float64(snapshot.Sum())
		s.Quantiles = snapshot.Percentiles(quantiles)
	case gometrics.Timer:
		snapshot := m.Snapshot()
		s.Kind, s.Unit, s.Count = kindSummary, "seconds", snapshot.Count()
		s.Sum = float64(snapshot.Sum()) * secondsPerNanosecond
		s.Quantiles = snapshot.Percentiles(quantiles)
		for i := range s.Quantiles {
			s.Quantiles[i] *= secondsPerNanosecond
		}
	default:
		return sample{}, false
	}
	return s, true
}
