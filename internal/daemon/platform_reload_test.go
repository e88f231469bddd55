package daemon

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/platform"
)

const platformSettings = `
node_name = "edge-1"
serves = ["edge"]
ip = "10.1.0.13"
internal_port_range = [7720,7735]
seeds = ["10.1.0.13:8166"]
[listen_addrs]
frontend = "10.1.0.13:8161"
[bounds]
catch_up_s = 4
grace_s = 6
max_hold_ms = 10000
status_s = 120
`

// reloadRecorder is a reloader that sends the settings that it is given.
type reloadRecorder chan *platform.Settings

func (r reloadRecorder) reload(changed *platform.Settings) { r <- changed }

// TestHangupReloadsSettings checks that SIGHUP reloads the settings. Without a
// handler, the signal would end the process.
func TestHangupReloadsSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "local.toml")
	is.NoErr(os.WriteFile(path, []byte(platformSettings), 0o600))
	settings, err := platform.LoadSettings(path)
	is.NoErr(err)
	p := &platformProcess{settings: settings, logger: slog.New(slog.DiscardHandler)}
	ctx, cancel := context.WithCancel(context.Background())
	reloaded, done := make(reloadRecorder, 64), make(chan struct{})
	go func() {
		defer close(done)
		p.watchSettings(ctx, path, reloaded)
	}()
	// Keeps signals that arrive before watchSettings listens, or after it has ended, from ending the test process. The kernel may
	// deliver the last one only after the test.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	self, err := os.FindProcess(os.Getpid())
	is.NoErr(err)
	var changed *platform.Settings
	for changed == nil {
		is.NoErr(self.Signal(syscall.SIGHUP))
		select {
		case changed = <-reloaded:
		case <-time.After(time.Millisecond):
		}
	}
	is.Equal(changed.Name, "edge-1")
	cancel()
	<-done
}
