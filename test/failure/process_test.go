package failure_test

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shutdownTimeout bounds how long a process may run after SIGTERM.
const shutdownTimeout = 60 * time.Second

// process is one daemon under test. Its methods must not be called concurrently.
type process struct {
	t       testing.TB
	name    string
	config  string // path of the settings file
	logPath string

	command *exec.Cmd
	exited  chan error
}

// start starts the daemon with its settings file and appends its output to the log.
func (p *process) start() {
	p.t.Helper()
	is := is.New(p.t)
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	is.NoErr(err)
	p.command = exec.Command(daemonPath, "run", p.config)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = killWithParent()
	is.NoErr(p.command.Start())
	exited := make(chan error, 1)
	command := p.command
	go func() {
		exited <- command.Wait()
		_ = log.Close()
	}()
	p.exited = exited
}

// running reports whether the process was started and neither killed nor terminated
// since.
func (p *process) running() bool {
	return p.command != nil
}

// kill sends SIGKILL and waits for the process to end, as if its VM were lost.
func (p *process) kill() {
	if !p.running() {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.exited
	p.command = nil
}

// freeze pauses the process with SIGSTOP, and resume continues it.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Fatalf("%s: signal %v: %v", p.name, s, err)
	}
}

// terminate sends SIGTERM and fails the test unless the process ends with exit code
// 0 within shutdownTimeout.
func (p *process) terminate() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		if err != nil {
			p.t.Errorf("%s: graceful shutdown failed: %v", p.name, err)
		}
	case <-time.After(shutdownTimeout):
		p.t.Errorf("%s: still running %v after SIGTERM", p.name, shutdownTimeout)
		p.kill()
		return
	}
	p.command = nil
}

// showLog prints the end of the process's log.
func (p *process) showLog() { showLog(p.t, p.name, p.logPath) }

// showLog adds the last 4000 bytes of a log file to the test's output.
func showLog(t testing.TB, name, path string) {
	const maxBytes = 4000
	text, err := os.ReadFile(path)
	if err != nil {
		return
	}
	if len(text) > maxBytes {
		text = text[len(text)-maxBytes:]
	}
	t.Logf("log of %s:\n%s", name, text)
}

// killWithParent makes the kernel kill a daemon when the test process ends, also if
// that is killed or exceeds its time limit.
func killWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
