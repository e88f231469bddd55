package failure_test

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shutdownTimeout is how long a process may take to end after SIGTERM.
const shutdownTimeout = 60 * time.Second

// process is one daemon under test.
type process struct {
	t       testing.TB
	name    string
	config  string // path of the settings file
	logPath string

	command *exec.Cmd
	exited  chan error
}

// start runs the daemon with the process's settings file.
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

// running reports whether the process was started and not yet killed or stopped.
func (p *process) running() bool {
	return p.command != nil
}

// kill ends the process as a lost VM does, without any chance to act.
func (p *process) kill() {
	if !p.running() {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.exited
	p.command = nil
}

// freeze and thaw stop the process and let it go on.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Fatalf("%s: signal %v: %v", p.name, s, err)
	}
}

// terminate asks for a clean shutdown and fails the test if it does not end
// with exit code 0 in time.
func (p *process) terminate() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		if err != nil {
			p.t.Errorf("%s: clean shutdown ended with %v", p.name, err)
		}
	case <-time.After(shutdownTimeout):
		p.t.Errorf("%s: still running %v after SIGTERM", p.name, shutdownTimeout)
		p.kill()
		return
	}
	p.command = nil
}

// showLog prints the end of the process's log when the test failed.
func (p *process) showLog() { showLog(p.t, p.name, p.logPath) }

func showLog(t testing.TB, name, path string) {
	const most = 4000 // bytes
	text, err := os.ReadFile(path)
	if err != nil {
		return
	}
	if len(text) > most {
		text = text[len(text)-most:]
	}
	t.Logf("log of %s:\n%s", name, text)
}

// killWithParent lets the kernel end a daemon with the test process, also when that
// is killed or stopped by its time limit.
func killWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
