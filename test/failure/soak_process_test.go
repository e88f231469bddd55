package failure_test

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pistachioport/pistachioport/internal/fake/relay"
)

// soakProcess is one daemon and the relay through which other daemons reach it.
type soakProcess struct {
	t            testing.TB
	checker      *soakChecker
	name         string
	index        int    // of its addresses
	config       string // path of the settings file
	logPath      string
	advertisedIP string // the relay listens there
	listenIP     string // the process listens there
	region       string
	dataDir      string // empty: none
	recordsDisk  bool   // the data folder is on a recordedDisk
	link         *relay.Relay
	settings     func(bootstrap bool) string
	descriptors  int // limit that the kernel enforces; 0: none

	faultLock sync.Mutex // held by a fault that signals the process or keeps it down

	mu        sync.Mutex
	command   *exec.Cmd
	ended     chan struct{} // closed when command has ended
	shouldRun bool          // restart the process if it ends
	lastFault time.Time     // last time a fault of the process began or ended; zero: never

	ongoingFaults int

	share                   float64      // of a core that the process may use; 0: any
	periods, stoppedPeriods atomic.Int64 // of sharePeriod, and those in which it had used up its share
}

// directAddress returns the address of one of the process's ports, by its offset from
// soakFirstPort, that callers, workers and operators dial without the relay.
func (p *soakProcess) directAddress(portOffset int) string {
	return fmt.Sprintf("%s:%d", p.listenIP, soakFirstPort+portOffset)
}

// writeSettingsAndStart writes the settings file, as the platform does before each
// start, and starts the process.
func (p *soakProcess) writeSettingsAndStart(bootstrap bool) {
	p.t.Helper()
	if err := os.WriteFile(p.config, []byte(p.settings(bootstrap)), 0o600); err != nil {
		p.t.Fatal(err)
	}
	p.startCommand()
}

// startCommand starts the process. If it ends although it should run, a violation is
// recorded and it is started again, as the platform does.
func (p *soakProcess) startCommand() {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Error(err)
		return
	}
	command := p.newCommand()
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = killWithParent()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := command.Start(); err != nil {
		p.t.Error(err)
		return
	}
	if p.descriptors > 0 {
		p.limitDescriptors(command.Process.Pid)
	}
	exited := make(chan struct{})
	p.command, p.ended, p.shouldRun = command, exited, true
	if p.share > 0 {
		go p.limitShare(command, exited)
	}
	go func() {
		err := command.Wait()
		_ = log.Close()
		close(exited)
		p.mu.Lock()
		unexpected := p.shouldRun && p.command == command
		p.mu.Unlock()
		if unexpected {
			p.checker.recordViolation("%s exited unexpectedly: %v", p.name, err)
			time.Sleep(soakMinFaultTime)
			p.startCommand()
		}
	}()
}

// newCommand returns the daemon's command.
func (p *soakProcess) newCommand() *exec.Cmd {
	settings := "PISTACHIOPORT_SETTINGS=" + p.config
	if !p.recordsDisk {
		command := exec.Command(daemonPath, "platform")
		command.Env = append(os.Environ(), settings)
		return command
	}
	command := exec.Command(recordedDaemonPath(p.t), "platform")
	command.Env = append(os.Environ(), settings, recordedDiskEnv+"=1")
	return command
}

// killAndWait kills the process and waits for its end. It stays down until
// writeSettingsAndStart.
func (p *soakProcess) killAndWait() {
	p.mu.Lock()
	p.shouldRun = false
	command, ended := p.command, p.ended
	p.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		<-ended
	}
}

// terminate sends SIGTERM and kills the process if it doesn't end within the
// platform's grace period.
func (p *soakProcess) terminate() {
	p.mu.Lock()
	p.shouldRun = false
	ended := p.ended
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(soakShutdownGrace):
		p.killAndWait()
	}
}

// signal sends a signal, which has no effect if the process has ended.
func (p *soakProcess) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s)
}

// beginFault records that a fault of the process or of its network begins.
func (p *soakProcess) beginFault() {
	p.countFault(1)
	if p.servesControl() {
		p.checker.updateTouch((*soakTouch).faultBegan)
	}
}

// endFault records that a fault has ended.
func (p *soakProcess) endFault() {
	p.countFault(-1)
	if p.servesControl() {
		p.checker.updateTouch((*soakTouch).faultEnded)
	}
}

// countFault adds the change to the number of ongoing faults.
func (p *soakProcess) countFault(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ongoingFaults += change
	p.lastFault = time.Now()
}

func (p *soakProcess) servesControl() bool { return p.dataDir != "" }

// resetConnections closes the open connections to the process's internal port.
func (p *soakProcess) resetConnections() {
	p.beginFault()
	p.link.CloseConnections()
	p.endFault()
}

// blackholeConnections makes the open connections to the process's internal port drop
// everything.
func (p *soakProcess) blackholeConnections() {
	p.beginFault()
	p.link.BlackholeOpen()
	p.endFault()
}

// noteFault records that a fault of the process begins or ends now.
func (p *soakProcess) noteFault() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFault = time.Now()
}

// inTouch reports whether the process has been without a fault for soakContactBound.
func (p *soakProcess) inTouch() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ongoingFaults == 0 && time.Since(p.lastFault) > soakContactBound
}

// caughtUp reports whether the process's last fault is longer ago than a lost member
// takes to catch up.
func (p *soakProcess) caughtUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastFault) > soakCatchUpBound
}
