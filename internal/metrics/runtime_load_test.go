package metrics

import (
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPercentileOfWaits(t *testing.T) {
	is := is.New(t)
	bounds := []float64{0, 0.001, 0.002, math.Inf(1)}
	is.Equal(percentile99([]uint64{99, 1, 0}, bounds, 100), time.Millisecond)
	is.Equal(percentile99([]uint64{98, 2, 0}, bounds, 100), 2*time.Millisecond)
	is.Equal(percentile99([]uint64{0, 0, 1}, bounds, 1), 2*time.Millisecond) // the last finite bound
	is.Equal(percentile99([]uint64{0, 0, 0}, bounds, 0), time.Duration(0))
}

func TestRuntimeLoadCountsFromTheLastReading(t *testing.T) {
	is := is.New(t)
	var m RuntimeLoadMeter
	runtime.GC()
	is.True(m.Read().GC > 0)
	is.True(m.Read().GC >= 0)
	is.True(m.Read().RunnableP99 >= 0)
}
