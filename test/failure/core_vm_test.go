package failure_test

import (
	"context"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// coreVM is a VM of the core: a control process and an entry that share a processor and its faults.
type coreVM struct {
	control, entry *soakProcess
	share          float64 // of a core that both may use in each sharePeriod together
	silent         []*silentPort

	mu      sync.Mutex
	frozen  bool // stopped by freeze
	stopped bool // stopped for the rest of the period
	used    map[*exec.Cmd]time.Duration

	periods, stoppedPeriods atomic.Int64
}

// silentPortOffsets are the ports that callers, workers and operators dial without a relay.
var silentPortOffsets = []int{10, 11, 12}

func (v *coreVM) processes() []*soakProcess { return []*soakProcess{v.control, v.entry} }

// limitShare keeps the processes of the VM to its share until ctx is done, as soakProcess.limitShare does for one.
func (v *coreVM) limitShare(ctx context.Context) {
	allowed, debt := time.Duration(v.share*float64(sharePeriod)), time.Duration(0)
	for end := time.Now().Add(sharePeriod); ctx.Err() == nil; end = end.Add(sharePeriod) {
		usedInPeriod := time.Duration(0)
		for left := time.Until(end); left > 0; left = time.Until(end) {
			usedInPeriod += v.takeUsed()
			rest := allowed - debt - usedInPeriod
			if rest <= 0 {
				v.stop()
				time.Sleep(left)
			} else {
				time.Sleep(min(left, max(shareMinCheck, rest/shareThreads)))
			}
		}
		usedInPeriod += v.takeUsed()
		debt = max(0, debt+usedInPeriod-allowed)
		v.periods.Add(1)
		v.resume()
	}
	v.resume()
}

// takeUsed returns the processor time that the processes have used since the last call.
func (v *coreVM) takeUsed() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	total, used := time.Duration(0), make(map[*exec.Cmd]time.Duration)
	for _, p := range v.processes() {
		if command := p.runningCommand(); command != nil {
			used[command] = processorTime(command)
			total += max(0, used[command]-v.used[command])
		}
	}
	v.used = used
	return total
}

// stop stops the processes for the rest of a period.
func (v *coreVM) stop() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stopped = true
	v.signal(syscall.SIGSTOP)
}

// resume ends stop, unless the VM is frozen.
func (v *coreVM) resume() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopped {
		v.stoppedPeriods.Add(1)
		v.stopped = false
		if !v.frozen {
			v.signal(syscall.SIGCONT)
		}
	}
}

// freeze stops the processes for the duration.
func (v *coreVM) freeze(duration time.Duration) {
	v.beginFault()
	v.setFrozen(true, syscall.SIGSTOP)
	time.Sleep(duration)
	v.setFrozen(false, syscall.SIGCONT)
	v.endFault()
}

func (v *coreVM) setFrozen(frozen bool, s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.frozen = frozen
	v.signal(s)
}

// signal sends a signal to the processes that run. The caller holds the lock.
func (v *coreVM) signal(s syscall.Signal) {
	for _, p := range v.processes() {
		if p.runningCommand() != nil {
			p.signal(s)
		}
	}
}

func (v *coreVM) beginFault() {
	for _, p := range v.processes() {
		p.beginFault()
	}
}

func (v *coreVM) endFault() {
	for _, p := range v.processes() {
		p.endFault()
	}
}

// holdPorts leaves callers of the VM without a response until freePorts; its processes must have ended.
func (v *coreVM) holdPorts() {
	for _, p := range v.processes() {
		v.silent = append(v.silent, p.holdPorts()...)
	}
}

// freePorts ends holdPorts.
func (v *coreVM) freePorts() {
	for _, s := range v.silent {
		s.close()
	}
	v.silent = nil
}

// holdPorts is coreVM.holdPorts for one process.
func (p *soakProcess) holdPorts() []*silentPort {
	var held []*silentPort
	for _, offset := range silentPortOffsets {
		held = append(held, holdPort(p.t, p.directAddress(offset)))
	}
	return held
}

// runningCommand returns the command that runs; nil: none.
func (p *soakProcess) runningCommand() *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return nil
	}
	select {
	case <-p.ended:
		return nil
	default:
		return p.command
	}
}
