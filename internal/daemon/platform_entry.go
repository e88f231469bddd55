package daemon

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/bodybudget"
	"github.com/pistachioport/pistachioport/internal/intake"
	"github.com/pistachioport/pistachioport/internal/metrics"
	"github.com/pistachioport/pistachioport/internal/rpc"
	"github.com/pistachioport/pistachioport/platform"
)

const (
	// leaderDialTimeout is the timeout for connecting to a control process: ten
	// round trips between regions.
	leaderDialTimeout = 200 * time.Millisecond
	// balancerDelay is how long the platform's balancer may take to detect that an
	// entry is not ready: two probes, a second apart, and a margin.
	balancerDelay = 2500 * time.Millisecond
	// drainFraction is the fraction of the grace period that a drain may take.
	drainFraction = 0.8
)

// platformEntry runs an entry on the users' platform.
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
	callers := p.budgets.callers.Handler(platform.CallerHandler(e.intake), platform.CallerBodyOptions())
	var err error
	if e.callers, err = p.listen(s.Listen.Callers, "callers", p.connections.Callers, callers); err != nil {
		return nil, err
	}
	ready := bodybudget.WithoutBody(platform.ReadyHandler(e.intake))
	if e.ready, err = p.listen(s.Listen.Ready, "probes", p.connections.Probes, ready); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", bodybudget.WithoutBody(metrics.Handler(p.registry)))
	advisor := apiv1.NewAdvisorServer(intake.AdvisorServer{Policy: p.client})
	mux.Handle(apiv1.AdvisorPathPrefix, p.budgets.internal.Handler(advisor, internalBodyOptions(maxAdvisorBodyBytes)))
	e.internal, err = p.listen(s.EntryBindAddress(), "internal", p.connections.Internal, mux)
	return e, err
}

// run serves until ctx ends, and then drains. While it drains, it reports that it
// is not ready, but serves requests until the balancer sends no more.
func (e *platformEntry) run(ctx context.Context) error {
	defer e.client.Close()
	group, groupContext := errgroup.WithContext(context.WithoutCancel(ctx))
	intakeContext, stopIntake := context.WithCancel(groupContext)
	defer stopIntake()
	for _, l := range []*listener{e.callers, e.ready, e.internal} {
		group.Go(l.serve)
	}
	group.Go(func() error {
		e.intake.Run(intakeContext)
		return nil
	})
	group.Go(func() error {
		defer stopIntake()
		defer e.internal.close()
		defer e.ready.close()
		defer e.callers.close()
		select {
		case <-ctx.Done():
			e.drain()
		case <-groupContext.Done():
		}
		return nil
	})
	return group.Wait()
}

// drain fails the readiness check, waits for the balancer to stop sending requests,
// and then for calls in flight, for drainFraction of the grace period at most.
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
