package daemon

import (
	"context"
	"hash/fnv"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pistachioport/pistachioport/internal/balance/shares"
	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/control"
	"github.com/pistachioport/pistachioport/internal/control/repair"
	"github.com/pistachioport/pistachioport/internal/placement"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/rpc"
	"github.com/pistachioport/pistachioport/internal/state"
	"github.com/pistachioport/pistachioport/internal/state/claims"
	"github.com/pistachioport/pistachioport/internal/state/tasks"
	"github.com/pistachioport/pistachioport/internal/storage"
)

const (
	// requestReadTimeout is the time within which a request must be read completely.
	requestReadTimeout = 30 * time.Second
	// entryLeaseLength is the length of an entry's lease. With the allowance for
	// clock drift and the time to detect its expiry, it stays within the 4 s in
	// which a publication must be in force.
	entryLeaseLength = 3500 * time.Millisecond
	// trailingEntriesDivisor sets how many entries before a snapshot stay in
	// memory for slow followers: the snapshot interval divided by it.
	trailingEntriesDivisor = 4
)

// controlRole runs a member of the replicated log and the control server, which
// does the leader's work while the member leads.
type controlRole struct {
	replica  *replica.Replica
	server   *control.Server
	listener *listener
	// platformListener serves workers and operators of the users' platform; may be nil.
	platformListener *listener
	// backgroundTasks run beside the server; their context ends with the server's.
	backgroundTasks []func(ctx context.Context)
	joinClient      *rpc.Client // registers the process as a spare while it is no voter; may be nil
}

// newSupervisedControl returns the control role of a settings file of our own.
func newSupervisedControl(p *process) (*controlSupervisor, error) {
	return newControlSupervisor(&controlSupervisor{
		build:   func(end *storage.Position) (*controlRole, error) { return newControlRole(p, end) },
		folder:  p.settings.DataDir,
		address: p.settings.Control.Listen,
		logger:  p.logger, registry: p.registry,
	})
}

// newControlRole opens the data folder and builds the role. end is the durable end of
// this process's previous replica of the folder; nil: there was none.
func newControlRole(p *process, end *storage.Position) (*controlRole, error) {
	system := clock.System{}
	taskTable := tasks.New()
	store := state.New(state.Options{Claims: claims.New(claims.Options{}), Tasks: taskTable})
	log, err := replica.New(replica.Config{
		DataDir:       p.settings.DataDir,
		DurableEnd:    end,
		Name:          p.settings.Name,
		Address:       p.settings.Control.Advertise,
		FailureDomain: p.settings.FailureDomain,
		StateMachine:  store,
		Logger:        p.logger,
		Metrics:       p.registry,
		Seed:          replicaSeed(p.settings.Name),
		WrapTransport: dialOverrideWrapper(p.settings.Control),

		SnapshotEntries: uint64(p.settings.Control.SnapshotEntries),
		TrailingEntries: uint64(p.settings.Control.SnapshotEntries / trailingEntriesDivisor),
	})
	if err != nil {
		return nil, err
	}
	controller := placement.New(placement.Config{
		Log: log, Tasks: taskTable, Clock: system, Logger: p.logger, Metrics: p.registry,
	})
	server, err := control.New(control.Config{
		Log:       log,
		Store:     store,
		Clock:     system,
		Logger:    p.logger,
		Metrics:   p.registry,
		Name:      p.settings.Name,
		Address:   p.settings.Control.Advertise,
		Peers:     peers(p),
		Placement: controller,

		EntryLease: entryLeaseLength,
		RepairPolicy: repair.Policy{
			UnreachableAfter: p.settings.Control.ReplaceAfter,
			DeadAfter:        p.settings.Control.SpareAfter,
		},
		NewSlotAllocator: func() control.SlotAllocator {
			return shares.NewAllocator(shares.Options{Clock: system, LeaseLength: entryLeaseLength})
		},
	})
	if err != nil {
		return nil, err
	}
	role := &controlRole{replica: log, server: server}
	role.listener, err = listen(p.settings.Control.Listen, role.handler(p), requestReadTimeout, p.logger)
	if err != nil {
		return nil, err
	}
	return role, nil
}

func (r *controlRole) handler(p *process) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(replica.PeerPath, r.replica.PeerHandler())
	mux.Handle("/metrics", p.metricsHandler)
	mux.Handle("/", r.server.Handler())
	return mux
}

// run serves until ctx ends. Then the server transfers the leadership, if this
// member leads, while the listener still serves the other members. The replica
// stops only after that.
func (r *controlRole) run(ctx context.Context) error {
	group, groupContext := errgroup.WithContext(context.WithoutCancel(ctx))
	replicaContext, stopReplica := context.WithCancel(groupContext)
	defer stopReplica()
	serverContext, stopServer := context.WithCancel(groupContext)
	defer stopServer()
	stop := context.AfterFunc(ctx, stopServer)
	defer stop()

	group.Go(r.listener.serve)
	if r.platformListener != nil {
		group.Go(r.platformListener.serve)
	}
	group.Go(func() error {
		defer r.closeListeners()
		return r.replica.Run(replicaContext)
	})
	for _, task := range r.backgroundTasks {
		group.Go(func() error {
			task(serverContext)
			return nil
		})
	}
	group.Go(func() error {
		defer stopReplica()
		return r.server.Run(serverContext)
	})
	return group.Wait()
}

func (r *controlRole) closeListeners() {
	if r.platformListener != nil {
		r.platformListener.close()
	}
	r.listener.close()
}

func peers(p *process) []control.Peer {
	var configured []control.Peer
	for _, member := range p.settings.Control.Members {
		configured = append(configured, control.Peer{
			Name:          member.Name,
			Address:       member.Address,
			FailureDomain: member.FailureDomain,
		})
	}
	return configured
}

// replicaSeed returns a random seed that differs between members, so that their
// election timeouts differ too.
func replicaSeed(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64() ^ uint64(time.Now().UnixNano())
}
