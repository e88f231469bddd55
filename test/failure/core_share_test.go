package failure_test

import (
	"os/exec"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	sharePeriod   = 100 * time.Millisecond // in which a process may use its share of a core
	shareMinCheck = 2 * time.Millisecond   // between two looks at the time used
	// shareThreads is the number of threads that are taken to run at a time: the next look at the time used is made before
	// so many could use up what is left.
	shareThreads = 2
)

// limitShare keeps the process to its share of a core until it has ended: once it has used up its share of a period it is
// stopped until the next one begins. What it used beyond that counts in the next period.
func (p *soakProcess) limitShare(command *exec.Cmd, ended <-chan struct{}) {
	allowed := time.Duration(p.share * float64(sharePeriod))
	used := processorTime(command) // when the period began, and what was used too much in those before
	debt := time.Duration(0)
	for end := time.Now().Add(sharePeriod); ; end = end.Add(sharePeriod) {
		stopped := false
		for left := time.Until(end); left > 0; left = time.Until(end) {
			now := processorTime(command)
			rest := allowed - debt - (now - used)
			if rest <= 0 && !stopped {
				stopped = true
				_ = command.Process.Signal(syscall.SIGSTOP)
			}
			if stopped {
				time.Sleep(left)
			} else {
				time.Sleep(min(left, max(shareMinCheck, rest/shareThreads)))
			}
		}
		now := processorTime(command)
		debt = max(0, debt+now-used-allowed)
		used = now
		p.periods.Add(1)
		if stopped {
			p.stoppedPeriods.Add(1)
			_ = command.Process.Signal(syscall.SIGCONT)
		}
		select {
		case <-ended:
			return
		default:
		}
	}
}

// processorTime returns the processor time that all threads of the process have used; false if it has ended.
func processorTime(command *exec.Cmd) time.Duration {
	const processClock = 2 // CPUCLOCK_SCHED in the low bits of a clock that names a process, see clock_getcpuclockid(3)
	var used unix.Timespec
	if err := unix.ClockGettime(int32(^command.Process.Pid<<3|processClock), &used); err != nil {
		return 0
	}
	return time.Duration(used.Nano())
}

// logShares logs how often the processes with a share had used it up.
func (c *soakCell) logShares() {
	count := func(kind string, processes []*soakProcess) {
		var periods, stopped int64
		for _, p := range processes {
			periods += p.periods.Load()
			stopped += p.stoppedPeriods.Load()
		}
		if periods > 0 {
			c.t.Logf("%s processes: share used up in %d of %d periods", kind, stopped, periods)
		}
	}
	count("control", c.control)
	count("entry", c.entries)
}
