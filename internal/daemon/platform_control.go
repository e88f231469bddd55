package daemon

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachioport/pistachioport/internal/bodybudget"
	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/connlimit"
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

// Timing of the replicated log. The values are shorter than the defaults of
// package replica because callers wait while there is no leader. An
// unnecessary election interrupts dispatch for less than a second.
const (
	heartbeatInterval = 60 * time.Millisecond
	electionTimeout   = 300 * time.Millisecond
	peerCallTimeout   = 160 * time.Millisecond
)

// replaceLostDiskAfter is the time without contact after which a voter whose disk was
// lost is replaced by the empty process that answers in its place. A voter that has only
// been deposed or partitioned keeps its incarnation, so the longest election timeout is
// enough.
const replaceLostDiskAfter = 2 * electionTimeout

// deadAfterDivisor sets after which part of the time for a successor to catch up a lost
// voter is given up: all steps of its replacement must fit in that time. The rest is for
// an election, which starts the count anew, for the successor's log and for the changes
// of the membership. A voter that was only out of reach becomes a spare.
const deadAfterDivisor = 4

// newPlatformControl builds a control process on the users' platform.
func newPlatformControl(p *platformProcess) (*controlSupervisor, error) {
	return newControlSupervisor(&controlSupervisor{
		build:   p.buildControl,
		folder:  p.settings.DataDir,
		disk:    p.disk,
		address: p.settings.ControlBindAddress(),
		logger:  p.logger, registry: p.registry,
		listen: func(address string, handler http.Handler) (*listener, error) {
			return p.listen(address, "internal", p.connections.Internal, bodybudget.WithoutBody(handler))
		},
	})
}

// buildControl opens the data folder and builds the control role. end is the durable
// end of this process's previous replica of the folder; nil: there was none.
func (p *platformProcess) buildControl(end *storage.Position) (*controlRole, error) {
	system := clock.System{}
	jobTable := jobs.New()
	store := state.New(state.Options{
		Claims: claims.New(claims.Options{}), Tasks: tasks.New(), Jobs: jobTable,
	})
	address := p.settings.ControlAddress()
	log, err := p.openReplica(replica.Config{
		FileSystem:    p.disk,
		DataDir:       p.settings.DataDir,
		DurableEnd:    end,
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
	p.logEmptyFolder(log.Status())
	bounds := p.settings.Bounds
	size, largePlan := connlimit.NewSize(p.connections), connlimit.LargeControlPlan(descriptorLimit(p.settings))
	server, err := control.New(control.Config{
		Log: log, Store: store, Clock: system, Logger: p.logger, Metrics: p.registry,
		Name: p.settings.Name, Address: address, RequireKeys: p.settings.RequiresKeys(), IsLarge: size.IsLarge,
		RepairPolicy: repair.Policy{UnreachableAfter: replaceLostDiskAfter, DeadAfter: platform.Seconds(bounds.CatchUpSeconds) / deadAfterDivisor, TargetVoters: p.settings.VoterCount()},
		Dispatch: &dispatch.Config{
			Log: log, Table: jobTable, WorkerClient: p.client, Clock: system, Logger: p.logger, Metrics: p.registry,
			Advisor:      intake.AdvisorClient{HTTP: advisorClientFor(size, p.connections.Advisors, largePlan.Advisors), Local: p.client},
			QuotaOverage: bounds.QuotaOverage,
			CallLimits:   dispatch.CallLimits{Holds: p.connections.Holds, Orders: p.connections.Orders, LargeHolds: largePlan.Holds},
			AdmitsByLoad: p.settings.AdmitsByLoad(),
			IsLarge:      size.IsLarge,
			Timing: dispatch.Timing{
				MaxLease:           platform.Milliseconds(bounds.MaxHoldMs),
				JobStatusRetention: platform.Seconds(bounds.JobStatusSeconds),
				StopTime:           platform.Milliseconds(bounds.StopTimeoutMs),
				RateWindow:         platform.Seconds(bounds.QuotaWindowSeconds),
			},
		},
	})
	if err != nil {
		return nil, err
	}
	role := &controlRole{replica: log, server: server}
	if role.listener, err = p.listenInternal(p.settings.ControlBindAddress(), log.PeerHandler(), server.Handler()); err != nil {
		return nil, err
	}
	platformHandler := platform.ControlHandler(server, p.settings, p.budgets.platform, p.logger, p.registry)
	if role.platformListener, err = p.listen(p.settings.Listen.Control, "reports", p.connections.Reports, platformHandler); err != nil {
		return nil, err
	}
	role.joinClient = rpc.NewClient(rpc.Options{Addresses: p.settings.SeedAddresses()})
	roles := &connectionRoles{
		size: size, base: p.connections, large: largePlan, reports: role.platformListener.limited, client: p.client,
		workers: jobTable.WorkerCount, log: log, logger: p.logger,
	}
	role.backgroundTasks = append(platformBackgroundTasks(p, server, role.joinClient), roles.run)
	return role, nil
}

// listenInternal opens the listener for the calls of the log's members, which peers serves, and those of entries and other
// processes, which others serves.
func (p *platformProcess) listenInternal(address string, peers, others http.Handler) (*listener, error) {
	mux := http.NewServeMux()
	mux.Handle(replica.PeerPath, p.budgets.log.Handler(peers, logBodyOptions()))
	mux.Handle("/metrics", bodybudget.WithoutBody(metrics.Handler(p.registry)))
	mux.Handle("/", p.budgets.internal.Handler(others, internalBodyOptions(0)))
	l, err := p.listen(address, "internal", p.connections.Internal, mux)
	if err != nil {
		return nil, err
	}
	l.limited.SetLimits(connlimit.Limits{Connections: p.connections.Internal, Reserved: p.connections.Members})
	l.server.ConnContext = l.limited.ConnContext
	l.server.Handler = l.limited.Reserve(isMemberCall, refuseConnection, mux)
	return l, nil
}

// isMemberCall reports whether the request is a call of a member of the replicated log.
func isMemberCall(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, replica.PeerPath) }

// refuseConnection answers a call for whose connection there is no room. It had no effect.
func refuseConnection(w http.ResponseWriter, _ *http.Request) {
	refuseInternalBody(w, "too many connections are open; the request was not run")
}

// openReplica opens the replica in the data folder. If the folder is damaged, its
// files are renamed and the process starts as a new, empty member, which the leader
// admits like one whose disk was lost. It does so by itself because there is no
// operator to do it.
func (p *platformProcess) openReplica(config replica.Config) (*replica.Replica, error) {
	log, err := replica.New(config)
	var damage *storage.DamageError
	if !errors.As(err, &damage) {
		return log, err
	}
	p.logger.Error("data folder damaged; vote lost", "file", filepath.Base(damage.Path), "offset", damage.Offset, "reason", damage.Reason,
		"folder", config.DataDir)
	if err := storage.RenameDamagedFiles(config.FileSystem, config.DataDir); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "rename the damaged files of the data folder"), storage.ErrUnavailable)
	}
	config.DurableEnd = nil      // of the renamed files
	p.settings.Bootstrap = false // the folder is empty because its data was lost; the cluster exists
	return replica.New(config)
}

// logEmptyFolder logs that the process starts without a vote although its cluster was formed before: it is a new spare, or
// has lost its disk.
func (p *platformProcess) logEmptyFolder(status replica.Status) {
	if status.ClusterID == "" && !p.settings.Bootstrap {
		p.logger.Warn("data folder empty; no vote: a lost disk or a new process", "incarnation", fmt.Sprintf("%x", status.Incarnation),
			"folder", p.settings.DataDir)
	}
}

// platformBackgroundTasks returns two tasks: one forms the cluster at the first
// start; the other registers the process with the leader as a spare while it is no
// voter.
func platformBackgroundTasks(p *platformProcess, server *control.Server, client *rpc.Client) []func(context.Context) {
	return []func(context.Context){
		func(ctx context.Context) {
			if p.settings.Bootstrap {
				server.FormFromSeeds(ctx, p.settings.SeedAddresses())
			}
		},
		func(ctx context.Context) {
			defer client.Close()
			server.RegisterAsSpare(ctx, client, p.settings.FailureDomain)
		},
	}
}
