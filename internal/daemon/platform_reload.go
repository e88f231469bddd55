package daemon

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/pistachioport/pistachioport/platform"
)

// settingsPollInterval is the interval at which the settings file is checked for
// changes, since it may change without a signal.
const settingsPollInterval = 5 * time.Second

// reloader is a role that can apply changed settings while it runs.
type reloader interface {
	reload(changed *platform.Settings)
}

// settingsWatch tells when the settings are to be reloaded: on SIGHUP, and when the
// file has changed since the watch was created.
type settingsWatch struct {
	path     string
	interval time.Duration // at which the file is checked
	modified time.Time     // of the file, when it was last loaded
	sighup   chan os.Signal
}

// newSettingsWatch handles SIGHUP from here on, until stop is called. It is created before
// the settings are loaded, so that no change is missed while the process starts.
func newSettingsWatch(path string) *settingsWatch {
	w := &settingsWatch{path: path, interval: settingsPollInterval, modified: modificationTime(path), sighup: make(chan os.Signal, 1)}
	signal.Notify(w.sighup, syscall.SIGHUP)
	return w
}

// stop ends the handling of SIGHUP.
func (w *settingsWatch) stop() { signal.Stop(w.sighup) }

// run calls reload for each signal and each change of the file, until ctx ends.
func (w *settingsWatch) run(ctx context.Context, reload func(signalled bool)) {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-w.sighup:
			signalled = true
		case <-ticker.C:
		}
		if now := modificationTime(w.path); signalled || now != w.modified {
			w.modified = now
			reload(signalled)
		}
	}
}

// modificationTime returns the file's modification time, or the zero time if the file
// can't be examined.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{} // differs from the time once the file is back, which causes a reload
	}
	return info.ModTime()
}

// reload reads the settings file and passes the settings to the role, which applies
// the seeds. Changes of other keys need a restart; reload logs these keys. If the
// file can't be read, the settings in force stay.
func (p *platformProcess) reload(path string, role reloader, signalled bool) {
	changed, err := platform.LoadSettings(path)
	if err != nil {
		p.logger.Error("settings not reloaded", "error", err)
		return
	}
	var needRestart []string
	for key, differs := range map[string]bool{
		"listen_addrs":        changed.Listen != p.settings.Listen,
		"serves":              !slices.Equal(changed.Serves, p.settings.Serves),
		"data_dir":            changed.DataDir != p.settings.DataDir,
		"bounds":              changed.Bounds != p.settings.Bounds,
		"contracts":           !slices.Equal(changed.Contracts, p.settings.Contracts),
		"internal_port_range": !slices.Equal(changed.InternalPorts, p.settings.InternalPorts),
	} {
		if differs {
			needRestart = append(needRestart, key)
		}
	}
	slices.Sort(needRestart)
	p.logger.Info("settings reloaded", "signalled", signalled, "seeds", changed.Seeds, "in_force_after_restart", needRestart)
	role.reload(changed)
}

// reload implements reloader. The seeds are tried once the leader that the process
// knows no longer answers.
func (r *controlRole) reload(changed *platform.Settings) {
	if r.joinClient != nil {
		r.joinClient.SetAddresses(changed.SeedAddresses())
	}
}

// reload implements reloader. A ready entry has contact with the leader and does not
// need the seeds.
func (e *platformEntry) reload(changed *platform.Settings) {
	if !e.intake.Ready() {
		e.client.SetAddresses(changed.SeedAddresses())
	}
}
