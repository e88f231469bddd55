package bubble

import (
	"sync"
	"testing"
	"time"
)

// The race detector crashed: "SIGSEGV: segmentation violation" in its function SlotLock.
func TestExpiredTimersOfManyGoroutines(t *testing.T) {
	Test(t, func(*testing.T) {
		var group sync.WaitGroup
		for range 1000 {
			group.Go(func() {
				for range 100 {
					timer := time.NewTimer(0)
					select {
					case <-timer.C:
					default:
					}
					timer.Stop()
					time.Sleep(time.Millisecond)
				}
			})
		}
		group.Wait()
	})
}
