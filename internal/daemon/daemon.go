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

// role is one of a process's jobs. run serves until ctx ends, then shuts down
// gracefully and returns.
type role interface {
	run(ctx context.Context) error
}

// process is what all roles of one process share.
type process struct {
	settings       *settings.Settings
	logger         *slog.Logger
	registry       gometrics.Registry
	metricsHandler http.Handler // the registry over HTTP
}

// Run runs the roles that the settings name until ctx ends, and then shuts
// them down. An entry role is drained before a control role of the same
// process hands its leadership over, since the entry still needs a leader.
// Errors: an address that can't be listened on, a damaged or failing data
// folder, or a drain that did not finish in time.
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

// run starts the roles. Either role's failure ends the other.
func (p *process) run(ctx context.Context) error {
	group, failed := errgroup.WithContext(context.WithoutCancel(ctx))
	controlContext, stopControl := context.WithCancel(failed)
	defer stopControl()
	entryContext, stopEntry := context.WithCancel(failed)
	defer stopEntry()

	if p.settings.Control != nil {
		control, err := newControlRole(p)
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
		case <-failed.Done():
		}
		return nil
	})
	return group.Wait()
}

var (
	_ role = (*controlRole)(nil)
	_ role = (*entryRole)(nil)
)
