package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/control"
	"github.com/pistachioport/pistachioport/internal/control/repair"
	"github.com/pistachioport/pistachioport/internal/dispatch"
	"github.com/pistachioport/pistachioport/internal/intake"
	"github.com/pistachioport/pistachioport/internal/metrics"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/rpc"
	"github.com/pistachioport/pistachioport/internal/state"
	"github.com/pistachioport/pistachioport/internal/state/claims"
	"github.com/pistachioport/pistachioport/internal/state/jobs"
	"github.com/pistachioport/pistachioport/internal/state/tasks"
	"github.com/pistachioport/pistachioport/internal/storage"
	"github.com/pistachioport/pistachioport/platform"
)

// Times between the members of the log. Callers wait while there is no leader,
// so they are shorter than the product's defaults; a needless election costs
// less than a second without orders.
const (
	heartbeatInterval = 60 * time.Millisecond
	electionTimeout   = 300 * time.Millisecond
	peerCallTimeout   = 160 * time.Millisecond
)

// replaceLostDiskAfter is how long a voter is silent before the empty process that
// answers in its place takes it over.
const replaceLostDiskAfter = 1500 * time.Millisecond

// newPlatformControl builds a control process on the users' platform.
func newPlatformControl(p *platformProcess) (*controlRole, error) {
	system := clock.System{}
	table := jobs.New()
	store := state.New(state.Options{
		Claims: claims.New(claims.Options{}), Tasks: tasks.New(), Jobs: table,
	})
	address := p.settings.ControlAddress()
	log, err := p.openReplica(replica.Config{
		DataDir:       p.settings.DataDir,
		Name:          p.settings.Name,
		Address:       address,
		FailureDomain: p.settings.FailureDomain,
		StateMachine:  store,
		Logger:        p.logger,
		Metrics:       p.registry,
		Seed:          replicaSeed(p.settings.Name),

		HeartbeatInterval: heartbeatInterval,
		ElectionTimeout:   electionTimeout,
		CallTimeout:       peerCallTimeout,
	})
	if err != nil {
		return nil, err
	}
	bounds := p.settings.Bounds
	server, err := control.New(control.Config{
		Log: log, Store: store, Clock: system, Logger: p.logger, Metrics: p.registry,
		Name: p.settings.Name, Address: address,
		RepairPolicy: repair.Policy{UnreachableAfter: replaceLostDiskAfter, DeadAfter: platform.Seconds(bounds.CatchUpSeconds), TargetVoters: p.settings.VoterCount()},
		Dispatch: &dispatch.Config{
			Log: log, Table: table, WorkerClient: p.client, Clock: system, Logger: p.logger, Metrics: p.registry,
			Advisor: intake.AdvisorClient{HTTP: &http.Client{}, Local: p.client},
			Timing: dispatch.Timing{
				MaxLease:           platform.Milliseconds(bounds.MaxHoldMs),
				EarlyStart:         platform.Milliseconds(bounds.EarlyStartMs),
				JobStatusRetention: platform.Seconds(bounds.JobStatusSeconds),
			},
		},
	})
	if err != nil {
		return nil, err
	}
	role := &controlRole{replica: log, server: server}
	mux := http.NewServeMux()
	mux.Handle(replica.PeerPath, log.PeerHandler())
	mux.Handle("/metrics", metrics.Handler(p.registry))
	mux.Handle("/", server.Handler())
	if role.listener, err = listen(p.settings.ControlBindAddress(), mux, controlReadTimeout, p.logger); err != nil {
		return nil, err
	}
	outside := platform.ControlHandler(server, p.settings, p.logger)
	if role.platformListener, err = listen(p.settings.Listen.Control, outside, controlReadTimeout, p.logger); err != nil {
		return nil, err
	}
	role.joinClient = rpc.NewClient(rpc.Options{Addresses: p.settings.SeedAddresses()})
	role.backgroundTasks = platformBackgroundTasks(p, server, role.joinClient)
	return role, nil
}

// openReplica opens the data folder. A damaged one is set aside, and the process
// begins as a new, empty member, which the leader takes in like one whose disk
// was lost: there is no operator to do it.
func (p *platformProcess) openReplica(config replica.Config) (*replica.Replica, error) {
	log, err := replica.New(config)
	var damage *storage.DamageError
	if !errors.As(err, &damage) {
		return log, err
	}
	p.logger.Error("data folder damaged; set aside", "file", damage.Path, "offset", damage.Offset, "reason", damage.Reason)
	if err := storage.RenameDamagedFiles(nil, config.DataDir); err != nil {
		return nil, errors.Wrap(err, "set the damaged data folder aside")
	}
	p.settings.Bootstrap = false // an empty folder now means a lost one
	return replica.New(config)
}

// platformBackgroundTasks forms the cluster at the first start, and offers the process
// to the leader while it is no voter.
func platformBackgroundTasks(p *platformProcess, server *control.Server, client *rpc.Client) []func(context.Context) {
	return []func(context.Context){
		func(ctx context.Context) {
			if p.settings.Bootstrap {
				server.FormFromSeeds(ctx, p.settings.SeedAddresses())
			}
		},
		func(ctx context.Context) {
			defer client.Close()
			server.RegisterAsSpare(ctx, client.Jobs(), p.settings.FailureDomain)
		},
	}
}
