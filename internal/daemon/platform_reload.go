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

// settingsPollInterval is the time between two looks at the settings file, which may
// change without a signal.
const settingsPollInterval = 5 * time.Second

// reloader is a role that takes over changed settings.
type reloader interface {
	reload(changed *platform.Settings)
}

// watchSettings reloads the settings on SIGHUP, and when the file has changed,
// until ctx ends.
func (p *platformProcess) watchSettings(ctx context.Context, path string, one reloader) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := modificationTime(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
		case <-ticker.C:
		}
		if now := modificationTime(path); signalled || now != last {
			last = now
			p.reload(path, one, signalled)
		}
	}
}

func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{} // read again once it is there
	}
	return info.ModTime()
}

// reload takes over what can change while the process runs: the seeds. Settings
// that can't be read leave those in force as they are.
func (p *platformProcess) reload(path string, one reloader, signalled bool) {
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
		"internal_port_range": !slices.Equal(changed.InternalPorts, p.settings.InternalPorts),
	} {
		if differs {
			needRestart = append(needRestart, key)
		}
	}
	slices.Sort(needRestart)
	p.logger.Info("settings reloaded", "signalled", signalled, "seeds", changed.Seeds, "in_force_after_restart", needRestart)
	one.reload(changed)
}

// reload implements reloader: the seeds are asked once no member answers.
func (r *controlRole) reload(changed *platform.Settings) {
	if r.joinClient != nil {
		r.joinClient.SetAddresses(changed.SeedAddresses())
	}
}

// reload implements reloader: the seeds are asked while there is no contact.
func (e *platformEntry) reload(changed *platform.Settings) {
	if !e.intake.Ready() {
		e.client.SetAddresses(changed.SeedAddresses())
	}
}
