package daemon

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/storage"
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

// controlSettings are the settings of a control process; its address and its data folder are filled in.
const controlSettings = `
node_name = "edge-1"
serves = ["control"]
ip = "%[1]s"
internal_port_range = [7720,7735]
seeds = ["%[1]s:8166"]
data_dir = "%[2]s"
bootstrap = true
[listen_addrs]
control_plane = "%[1]s:8166"
[bounds]
catch_up_s = 4
grace_s = 6
max_hold_ms = 10000
status_s = 120
`

// reloadRecorder is a reloader that sends the settings that it is given.
type reloadRecorder chan *platform.Settings

func (r reloadRecorder) reload(changed *platform.Settings) { r <- changed }

// keepHangups keeps signals that arrive while the process has no other handler from ending the test process. The kernel may
// deliver the last one only after the test.
func keepHangups() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

// sendHangup sends SIGHUP to the test process.
func sendHangup(is *is.I) {
	is.Helper()
	self, err := os.FindProcess(os.Getpid())
	is.NoErr(err)
	is.NoErr(self.Signal(syscall.SIGHUP))
}

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
	keepHangups()
	watch := newSettingsWatch(path)
	defer watch.stop()
	go func() {
		defer close(done)
		watch.run(ctx, func(signalled bool) { p.reload(path, reloaded, signalled) })
	}()
	var changed *platform.Settings
	for changed == nil {
		sendHangup(is)
		select {
		case changed = <-reloaded:
		case <-time.After(time.Millisecond):
		}
	}
	is.Equal(changed.Name, "edge-1")
	cancel()
	<-done
}

// blockedDisk is a disk whose first access waits until it is released.
type blockedDisk struct {
	storage.Disk
	accessed sync.Once
	opening  chan struct{} // closed at the first access
	released chan struct{}
}

func (d *blockedDisk) MkdirAll(folder string) error {
	d.accessed.Do(func() { close(d.opening) })
	<-d.released
	return d.Disk.MkdirAll(folder)
}

// TestHangupWhileTheDataFolderIsOpenedReloadsSettings checks that a process that starts handles SIGHUP, which would end it otherwise.
func TestHangupWhileTheDataFolderIsOpenedReloadsSettings(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	path := filepath.Join(folder, "local.toml")
	address := fmt.Sprintf("127.77.%d.%d", byte(os.Getpid()>>8), byte(os.Getpid())|1)
	is.NoErr(os.WriteFile(path, fmt.Appendf(nil, controlSettings, address, filepath.Join(folder, "data")), 0o600))
	t.Setenv(platform.SettingsPathEnv, path)
	keepHangups()
	lines, output, err := os.Pipe()
	is.NoErr(err)
	stdout := os.Stdout
	os.Stdout = output
	disk := &blockedDisk{opening: make(chan struct{}), released: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		ended <- RunOnPlatformWithDisk(ctx, disk)
		_ = output.Close()
	}()
	select {
	case <-disk.opening:
	case err := <-ended:
		t.Fatal("the process ended before it opened its folder: ", err)
	}
	os.Stdout = stdout // the process has its writer
	sendHangup(is)
	time.Sleep(50 * time.Millisecond) // until the signal is delivered; the process has no handler to wait for if the test fails
	close(disk.released)
	reloaded := false
	scanner := bufio.NewScanner(lines)
	timeout := time.AfterFunc(10*time.Second, cancel)
	defer timeout.Stop()
	for scanner.Scan() {
		if strings.Contains(scanner.Text(), `"msg":"settings reloaded"`) && strings.Contains(scanner.Text(), `"signalled":true`) {
			reloaded = true
			cancel()
		}
	}
	is.NoErr(<-ended)
	is.True(reloaded) // the signal that arrived while the data folder was opened
}

// TestSettingsThatChangeWhileTheProcessStartsAreReloaded checks that a file that changes before the process watches it is loaded again.
func TestSettingsThatChangeWhileTheProcessStartsAreReloaded(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "local.toml")
	is.NoErr(os.WriteFile(path, []byte(platformSettings), 0o600))
	watch := newSettingsWatch(path)
	defer watch.stop()
	watch.interval = time.Millisecond
	is.NoErr(os.Chtimes(path, time.Time{}, watch.modified.Add(time.Second)))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reloads := 0
	watch.run(ctx, func(signalled bool) {
		is.True(!signalled)
		reloads++
		cancel()
	})
	is.Equal(reloads, 1)
}
