package daemon

import (
	"context"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/pistachioport/pistachioport/internal/logging"
	"github.com/pistachioport/pistachioport/internal/metrics"
	"github.com/pistachioport/pistachioport/platform"
)

// platformProcess is what the roles of one process on the users' platform
// share.
type platformProcess struct {
	settings *platform.Settings
	client   *platform.Client
	logger   *slog.Logger
	registry gometrics.Registry
}

// memoryLimitFraction is the part of the VM's memory at which the garbage
// collector works hardest.
const memoryLimitFraction = 0.6

// RunOnPlatform runs the role that the platform's settings name until ctx ends,
// and then shuts it down. Errors: settings that can't be read, an address that
// can't be listened on, a damaged or failing data folder.
func RunOnPlatform(ctx context.Context) error {
	path := os.Getenv(platform.SettingsPathEnv)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.Limits.MemoryMB<<20)))
	}
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	logger, err := logging.New(out, "json", "info")
	if err != nil {
		return err
	}
	registry := gometrics.NewRegistry()
	if err := metrics.RegisterProcess(registry, time.Now()); err != nil {
		return errors.Wrap(err, "register the process's metrics")
	}
	p := &platformProcess{
		settings: settings,
		client:   platform.NewClient(settings.PolicyService),
		logger:   logger.With("name", settings.Name),
		registry: registry,
	}
	one, err := p.role()
	if err != nil {
		p.logger.Error("not started", "error", err)
		return err
	}
	p.logger.Info("started", "control", settings.ServesControl(), "entry", settings.ServesCallers(),
		"first_start", settings.Bootstrap, "seeds", settings.Seeds, "pid", os.Getpid())
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go p.watchSettings(watching, path, one)
	err = one.run(ctx)
	p.logger.Info("stopped", "error", err)
	return err
}

// platformRole is a role that takes over changed settings.
type platformRole interface {
	role
	reloader
}

func (p *platformProcess) role() (platformRole, error) {
	if p.settings.ServesControl() {
		return newPlatformControl(p)
	}
	return newPlatformEntry(p)
}
