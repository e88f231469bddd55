// Package bubble runs tests in virtual time.
package bubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// processors is held while the number of processors is changed.
var processors sync.Mutex

// Test runs f in a bubble of testing/synctest. Under the race detector it uses one processor: Go 1.26 gives all timers
// of a bubble one race context, and goroutines that run expired timers at the same time crash the detector.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if raceDetector {
		processors.Lock()
		defer processors.Unlock()
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, f)
}
