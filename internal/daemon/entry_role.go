package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/entry"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// announceReadTimeout is the time within which an announcement must be read
// completely.
const announceReadTimeout = 10 * time.Second

// entryRole serves callers' requests and endpoints' announcements.
type entryRole struct {
	server       *entry.Server
	client       *rpc.Client
	callers      *listener
	announce     *listener
	drainTimeout time.Duration
}

func newEntryRole(p *process) (*entryRole, error) {
	s := p.settings.Entry
	client := rpc.NewClient(rpc.Options{Addresses: s.ControlAddresses, DialOverrides: s.DialOverrides})
	server, err := entry.New(entry.Config{
		Name:    p.settings.Name,
		Address: s.Advertise,
		Location: &apiv1.Location{
			Region:        p.settings.Region,
			FailureDomain: p.settings.FailureDomain,
			Rack:          p.settings.Rack,
		},
		Client:         client,
		Logger:         p.logger,
		Metrics:        p.registry,
		MetricsHandler: p.metricsHandler,
		Limits: entry.Limits{
			DefaultTimeout: s.DefaultTimeout,
			MaxQueueLength: s.MaxQueueLength,
			MaxBodyBytes:   s.MaxBodyBytes,
		},
		BalancerDelay: s.DrainDelay,
	})
	if err != nil {
		return nil, err
	}
	role := &entryRole{server: server, client: client, drainTimeout: s.DrainTimeout}
	// There is no read timeout: callers may stream a body until their deadline,
	// which the entry enforces.
	role.callers, err = listen(s.Listen, server.CallerHandler(), 0, p.logger)
	if err != nil {
		return nil, err
	}
	role.announce, err = listen(s.AnnounceListen, server.AnnounceHandler(), announceReadTimeout, p.logger)
	if err != nil {
		return nil, err
	}
	return role, nil
}

// run serves until ctx ends, and then drains. It renews the lease until the drain
// has ended.
func (r *entryRole) run(ctx context.Context) error {
	defer r.client.Close()
	group, groupContext := errgroup.WithContext(context.WithoutCancel(ctx))
	serverContext, stopServer := context.WithCancel(groupContext)
	defer stopServer()

	group.Go(r.callers.serve)
	group.Go(r.announce.serve)
	group.Go(func() error { return r.server.Run(serverContext) })
	group.Go(func() error {
		defer stopServer()
		defer r.announce.close()
		defer r.callers.close()
		select {
		case <-ctx.Done():
			return r.drain()
		case <-groupContext.Done():
			return nil
		}
	})
	return group.Wait()
}

func (r *entryRole) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), r.drainTimeout)
	defer cancel()
	return errors.Wrapf(r.server.Drain(ctx), "drain within %v", r.drainTimeout)
}
