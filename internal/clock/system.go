package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// System reads the machine's clocks.
type System struct{}

var _ Clock = System{}

// Read returns the three clocks' present values.
func (System) Read() Reading {
	return Reading{
		Monotonic: readClock(unix.CLOCK_MONOTONIC),
		Boot:      readClock(unix.CLOCK_BOOTTIME),
		Wall:      readClock(unix.CLOCK_REALTIME),
	}
}

func readClock(id int32) time.Duration {
	var value unix.Timespec
	if err := unix.ClockGettime(id, &value); err != nil {
		// The kernel knows all three clocks since Linux 2.6.39.
		panic(err)
	}
	return time.Duration(value.Nano())
}
