package daemon

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/intake"
	"github.com/pistachioport/pistachioport/internal/metrics"
	"github.com/pistachioport/pistachioport/internal/rpc"
	"github.com/pistachioport/pistachioport/platform"
)

const (
	// leaderDialTimeout bounds the making of a connection to a control process: ten
	// round trips between regions.
	leaderDialTimeout = 200 * time.Millisecond
	// balancerDelay is how long the platform's balancer takes to see that an
	// entry is not ready: two looks, a second apart, and some slack.
	balancerDelay = 2500 * time.Millisecond
	// drainFraction is the part of the grace period in which calls may end.
	drainFraction = 0.8
)

// platformEntry is an entry on the users' platform.
type platformEntry struct {
	intake      *intake.Intake
	client      *rpc.Client
	callers     *listener
	ready       *listener
	internal    *listener
	gracePeriod time.Duration
}

func newPlatformEntry(p *platformProcess) (*platformEntry, error) {
	s := p.settings
	e := &platformEntry{
		client:      rpc.NewClient(rpc.Options{Addresses: s.SeedAddresses(), DialTimeout: leaderDialTimeout}),
		gracePeriod: platform.Seconds(s.Bounds.GraceSeconds),
	}
	e.intake = intake.New(intake.Config{
		Client: e.client, Name: s.Name, Address: s.EntryAddress(), FailureDomain: s.FailureDomain,
		Logger: p.logger, Metrics: p.registry,
	})
	var err error
	if e.callers, err = listen(s.Listen.Callers, platform.CallerHandler(e.intake), controlReadTimeout, p.logger); err != nil {
		return nil, err
	}
	if e.ready, err = listen(s.Listen.Ready, platform.ReadyHandler(e.intake), controlReadTimeout, p.logger); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics.Handler(p.registry))
	mux.Handle(apiv1.AdvisorPathPrefix, apiv1.NewAdvisorServer(intake.AdvisorServer{Policy: p.client}))
	e.internal, err = listen(s.EntryBindAddress(), mux, controlReadTimeout, p.logger)
	return e, err
}

// run serves until ctx ends. Then it asks for no more callers, answers those
// that still come until the balancer has noticed, and ends.
func (e *platformEntry) run(ctx context.Context) error {
	defer e.client.Close()
	group, failed := errgroup.WithContext(context.WithoutCancel(ctx))
	background, stop := context.WithCancel(failed)
	defer stop()
	for _, l := range []*listener{e.callers, e.ready, e.internal} {
		group.Go(l.serve)
	}
	group.Go(func() error {
		e.intake.Run(background)
		return nil
	})
	group.Go(func() error {
		defer stop()
		defer e.internal.close()
		defer e.ready.close()
		defer e.callers.close()
		select {
		case <-ctx.Done():
			e.drain()
		case <-failed.Done():
		}
		return nil
	})
	return group.Wait()
}

func (e *platformEntry) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(drainFraction*float64(e.gracePeriod)))
	defer cancel()
	e.intake.BeginDrain()
	select {
	case <-ctx.Done():
	case <-time.After(min(balancerDelay, e.gracePeriod/2)):
	}
	e.intake.AwaitIdle(ctx)
}
