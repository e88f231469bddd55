package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
	"github.com/pistachioport/pistachioport/internal/storage"
)

// Replica is one member of the replicated log. Its methods are safe for
// concurrent use. Propose, Barrier, Form and the membership calls block until Run
// is called.
type Replica struct {
	config    Config
	store     *storage.Store
	core      *raft.Core // only used by loop once Run is called
	applier   *applier
	transport *transport
	counters  counters
	disk      *diskMonitor

	proposals     chan *proposal
	barriers      chan *barrier
	loopCalls     chan func() // functions to run on the loop
	inbox         chan *apiv1.StepRequest
	proposalSlots chan struct{} // semaphore: holds one element per Propose call in progress
	pending       pendingProposals
	stopped       chan struct{} // closed when Run returns

	// Only used by loop.
	reads      readRounds
	batch      []*proposal        // to be appended together
	tickedAt   time.Time          // time to which the core's timers are advanced
	heard      map[uint64]contact // of the other members while this one leads
	addressed  *apiv1.Membership  // that the transport knows
	leaderTerm uint64             // term that this member leads; 0: it is not the leader
	syncTimes  syncTimes
	leaderless leaderless

	mu      sync.Mutex // guards the fields below
	status  Status
	changed chan struct{} // closed and replaced when Status changes, see Changed
}

var _ Log = (*Replica)(nil)

// Capacities of the loop's queues.
const (
	proposalQueueLength = 1_024 // commands
	barrierQueueLength  = 1_024 // calls
	inboxQueueLength    = 256   // step requests
)

// New opens the data folder and restores the member's state; Run starts the
// member. Errors include a storage.DamageError if the folder does not contain
// what was synced to it.
func New(config Config) (*Replica, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	store, state, err := storage.Open(storage.Options{
		FileSystem:  config.FileSystem,
		Folder:      config.DataDir,
		SegmentSize: config.SegmentBytes,
		DurableEnd:  config.DurableEnd,
	})
	if err != nil {
		return nil, err
	}
	r := &Replica{
		config:        config,
		store:         store,
		counters:      newCounters(config.Metrics),
		proposals:     make(chan *proposal, proposalQueueLength),
		barriers:      make(chan *barrier, barrierQueueLength),
		loopCalls:     make(chan func()),
		inbox:         make(chan *apiv1.StepRequest, inboxQueueLength),
		proposalSlots: make(chan struct{}, maxPendingProposals),
		stopped:       make(chan struct{}),
		changed:       make(chan struct{}),
	}
	r.disk = &diskMonitor{logger: config.Logger, counters: r.counters}
	r.core = raft.New(r.coreOptions(state))
	r.applier = newApplier(config, store, &r.pending, r.counters)
	r.transport = newTransport(config, store, r.counters)
	if state.Snapshot != nil {
		r.applier.push(applyTask{snapshot: state.Snapshot})
	}
	r.addressMembers()
	r.publish()
	return r, nil
}

func (r *Replica) coreOptions(state *storage.State) raft.Options {
	options := raft.Options{
		ID:                   r.store.Identity().Incarnation,
		ElectionTicks:        int(r.config.ElectionTimeout / r.config.TickInterval),
		HeartbeatTicks:       int(r.config.HeartbeatInterval / r.config.TickInterval),
		SnapshotTimeoutTicks: int(snapshotTimeout / r.config.TickInterval),
		MaxInflight:          maxInflight,
		MaxAppendBytes:       maxAppendBytes,
		MaxLearnerLag:        maxLearnerLag,
		Seed:                 r.config.Seed,
		HardState:            state.HardState,
		Entries:              state.Entries,
	}
	if state.Snapshot != nil {
		options.Snapshot = state.Snapshot.Meta
	}
	return options
}

// Run runs the member until ctx ends. It then transfers leadership if this member
// is the leader, closes the data folder and returns nil. It returns an error if
// the data folder or the state machine fails, since it is unknown then what reached
// the disk. After an error marked with storage.ErrUnavailable, a new replica can
// continue with the folder and this one's DurableEnd once the disk accepts writes.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.stopped)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(background)
	group.Go(func() error { return r.applier.run(running) })
	group.Go(func() error { return r.transport.run(running) })
	group.Go(func() error { return r.disk.run(running) })
	group.Go(func() error {
		defer stop()
		return r.loop(ctx, running)
	})
	err := group.Wait()
	r.failPending()
	if closeErr := r.store.Close(); err == nil {
		err = closeErr
	}
	return err
}

// DurableEnd returns the end of the log that is known to be on disk, also after Run has
// returned an error.
func (r *Replica) DurableEnd() storage.Position { return r.store.DurableEnd() }

// PeerHandler returns the handler for calls from other members.
func (r *Replica) PeerHandler() http.Handler {
	return apiv1.NewPeerServer(&peerService{replica: r})
}

// PeerPath is the URL path prefix of the calls that PeerHandler serves.
const PeerPath = apiv1.PeerPathPrefix
