package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/pistachioport/pistachioport/internal/logging"
	"github.com/pistachioport/pistachioport/internal/metrics"
	"github.com/pistachioport/pistachioport/internal/settings"
)

// role is a role of the process: control or entry.
type role interface {
	// run serves until ctx ends, then shuts down gracefully and returns.
	run(ctx context.Context) error
}

// process holds what the roles of the process share.
type process struct {
	settings       *settings.Settings
	logger         *slog.Logger
	registry       gometrics.Registry
	metricsHandler http.Handler // serves the registry
}

// Run runs the roles that the settings name until ctx ends, and then shuts
// them down. The entry role is drained before the control role transfers its
// leadership, because the entry needs a leader while it drains. Run returns an
// error if it can't listen on an address, if the data folder is damaged or
// fails, or if the drain does not finish in time.
func Run(ctx context.Context, settings *settings.Settings) error {
	p, err := newProcess(settings)
	if err != nil {
		return err
	}
	p.logger.Info("starting", "control", settings.Control != nil, "entry", settings.Entry != nil)
	err = p.run(ctx)
	if err != nil {
		p.logger.Error("stopped", "error", err)
		return err
	}
	p.logger.Info("stopped")
	return nil
}

func newProcess(s *settings.Settings) (*process, error) {
	logger, err := logging.New(os.Stderr, s.Log.Format, s.Log.Level)
	if err != nil {
		return nil, err
	}
	registry := gometrics.NewRegistry()
	if err := metrics.RegisterProcess(registry, time.Now()); err != nil {
		return nil, errors.Wrap(err, "register the process's metrics")
	}
	return &process{
		settings:       s,
		logger:         logger.With("name", s.Name),
		registry:       registry,
		metricsHandler: metrics.Handler(registry),
	}, nil
}

// run runs the roles until ctx ends. If one role fails, the other is stopped.
func (p *process) run(ctx context.Context) error {
	group, groupContext := errgroup.WithContext(context.WithoutCancel(ctx))
	controlContext, stopControl := context.WithCancel(groupContext)
	defer stopControl()
	entryContext, stopEntry := context.WithCancel(groupContext)
	defer stopEntry()

	if p.settings.Control != nil {
		control, err := newSupervisedControl(p)
		if err != nil {
			return errors.Wrap(err, "control role")
		}
		group.Go(func() error { return errors.Wrap(control.run(controlContext), "control role") })
	}
	entryStopped := make(chan struct{})
	if p.settings.Entry != nil {
		entry, err := newEntryRole(p)
		if err != nil {
			stopControl()
			return errors.CombineErrors(errors.Wrap(err, "entry role"), group.Wait())
		}
		group.Go(func() error {
			defer close(entryStopped)
			return errors.Wrap(entry.run(entryContext), "entry role")
		})
	} else {
		close(entryStopped)
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			stopEntry()
			<-entryStopped
			stopControl()
		case <-groupContext.Done():
		}
		return nil
	})
	return group.Wait()
}

var (
	_ role = (*controlRole)(nil)
	_ role = (*controlSupervisor)(nil)
	_ role = (*entryRole)(nil)
)
