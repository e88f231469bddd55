package daemon

import (
	"context"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/pistachioport/pistachioport/internal/connlimit"
	"github.com/pistachioport/pistachioport/internal/logging"
	"github.com/pistachioport/pistachioport/internal/metrics"
	"github.com/pistachioport/pistachioport/internal/storage"
	"github.com/pistachioport/pistachioport/platform"
)

// platformProcess holds the settings, platform client, logger and metrics of a
// process on the users' platform.
type platformProcess struct {
	settings *platform.Settings
	client   *platform.Client
	disk     storage.FileSystem // of the data folder
	logger   *slog.Logger
	registry gometrics.Registry
	// connections bounds the process's connections by kind.
	connections connlimit.Plan
	budgets     memoryBudgets
}

// memoryLimitFraction is the fraction of the VM's memory that is the Go runtime's
// soft memory limit, at which the garbage collector works hardest.
const memoryLimitFraction = 0.6

// controlGCPercent is the garbage collector's target on control processes. The leader
// allocates for every call to a worker, and its live heap is small compared to the memory
// limit: collecting half as often as by default leaves more processor time in bursts.
const controlGCPercent = 200

// RunOnPlatform runs the role that the platform's settings name until ctx ends,
// and then shuts it down. It returns an error if it can't read the settings or
// listen on an address, or if the data folder fails.
func RunOnPlatform(ctx context.Context) error {
	return RunOnPlatformWithDisk(ctx, storage.Disk{})
}

// RunOnPlatformWithDisk is RunOnPlatform with the file system of the data folder.
func RunOnPlatformWithDisk(ctx context.Context, disk storage.FileSystem) error {
	path := os.Getenv(platform.SettingsPathEnv)
	// Without a handler, SIGHUP would end a process that starts or drains.
	watch := newSettingsWatch(path)
	defer watch.stop()
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.Limits.MemoryMB<<20)))
	}
	if settings.ServesControl() {
		debug.SetGCPercent(controlGCPercent)
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
	connections := connectionPlan(settings)
	p := &platformProcess{
		connections: connections,
		budgets:     newMemoryBudgets(settings, logger.With("name", settings.Name), registry),
		settings:    settings,
		disk:        disk,
		client: platform.NewClient(platform.ClientConfig{
			PolicyService: settings.PolicyService, MaxPolls: connections.Holds,
			MaxIdle: connections.IdleWorkers + connections.Policy, Metrics: registry,
		}),
		logger:   logger.With("name", settings.Name),
		registry: registry,
	}
	p.reportContracts()
	role, err := p.newRole()
	if err != nil {
		p.logger.Error("not started", "error", err)
		return err
	}
	p.logger.Info("started", "control", settings.ServesControl(), "entry", settings.ServesCallers(),
		"first_start", settings.Bootstrap, "seeds", settings.Seeds, "pid", os.Getpid())
	watchContext, stopWatch := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWatch()
	go watch.run(watchContext, func(signalled bool) { p.reload(path, role, signalled) })
	err = role.run(ctx)
	p.logger.Info("stopped", "error", err)
	return err
}

// platformRole is a role that can reload settings while it runs.
type platformRole interface {
	role
	reloader
}

// newRole builds the role that the settings name.
func (p *platformProcess) newRole() (platformRole, error) {
	if p.settings.ServesControl() {
		return newPlatformControl(p)
	}
	return newPlatformEntry(p)
}
