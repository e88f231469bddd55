package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Passes over a long queue followed each other so closely that they took a third of the leader's
// processor, and the starts and ends of urgent tasks came late.
func TestPassesLeaveTheProcessorToRequests(t *testing.T) {
	for _, length := range []time.Duration{100 * time.Microsecond, time.Millisecond, 8 * time.Millisecond} {
		is := is.New(t)
		begin := time.Now()
		last := passTimes{begin, begin.Add(length)}
		const share = 10 // passes take less than a tenth of the time
		is.True(last.delay(last.end) >= (share-1)*length)
		is.Equal(last.delay(last.end.Add(maxPassRest)), minPassDelay) // it has rested
	}
}

// However long a pass takes, the next one is not put off longer than one that nothing requests.
func TestRestOfAPassIsBounded(t *testing.T) {
	is := is.New(t)
	begin := time.Now()
	last := passTimes{begin, begin.Add(time.Second)}
	is.Equal(last.delay(last.end), idlePassInterval)
	is.Equal(passTimes{}.delay(begin), minPassDelay)
}
