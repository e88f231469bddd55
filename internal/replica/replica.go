package replica

import (
	"context"
	"net/http"
	"sync"

	"golang.org/x/sync/errgroup"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
	"github.com/pistachioport/pistachioport/internal/storage"
)

// Replica is one member of the replicated log. Its methods are safe for
// concurrent use. Propose, Barrier, Form and the membership calls wait for Run.
type Replica struct {
	config    Config
	store     *storage.Store
	core      *raft.Core // only used by the loop
	applier   *applier
	transport *transport
	counters  counters

	proposals   chan *proposal
	barriers    chan *barrier
	requests    chan func()
	inbox       chan *apiv1.StepRequest
	outstanding chan struct{} // one element for each proposal not yet answered
	pending     pendingProposals
	stopped     chan struct{} // closed when Run has ended

	// Only used by the loop.
	reads      readRounds
	group      []*proposal // to be appended together
	leaderTerm uint64      // 0: this member does not lead

	mu      sync.Mutex
	status  Status
	changed chan struct{}
}

var _ Log = (*Replica)(nil)

// Sizes of the loop's queues.
const (
	proposalQueue = 1_024
	barrierQueue  = 1_024
	inboxQueue    = 256 // step requests
)

// New opens the data folder. Errors: a storage.DamageError if the folder's
// content can't be what was synced.
func New(config Config) (*Replica, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	store, state, err := storage.Open(storage.Options{
		FileSystem:  config.FileSystem,
		Folder:      config.DataDir,
		SegmentSize: config.SegmentBytes,
	})
	if err != nil {
		return nil, err
	}
	r := &Replica{
		config:      config,
		store:       store,
		counters:    newCounters(config.Metrics),
		proposals:   make(chan *proposal, proposalQueue),
		barriers:    make(chan *barrier, barrierQueue),
		requests:    make(chan func()),
		inbox:       make(chan *apiv1.StepRequest, inboxQueue),
		outstanding: make(chan struct{}, maxOutstanding),
		stopped:     make(chan struct{}),
		changed:     make(chan struct{}),
	}
	r.core = raft.New(r.coreOptions(state))
	r.applier = newApplier(config, store, &r.pending, r.counters)
	r.transport = newTransport(config, store, r.counters)
	if state.Snapshot != nil {
		r.applier.push(applyTask{snapshot: state.Snapshot})
	}
	r.publish()
	return r, nil
}

func (r *Replica) coreOptions(state *storage.State) raft.Options {
	options := raft.Options{
		ID:                   r.store.Identity().Incarnation,
		ElectionTicks:        int(r.config.ElectionTimeout / r.config.TickInterval),
		HeartbeatTicks:       int(r.config.HeartbeatInterval / r.config.TickInterval),
		SnapshotTimeoutTicks: int(snapshotDeadline / r.config.TickInterval),
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

// Run takes part in the log until ctx ends; then it hands leadership over,
// closes the data folder and returns nil. It returns an error if the data
// folder or the state machine fails: the process must then end, since what
// reached the disk is unknown.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.stopped)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(background)
	group.Go(func() error { return r.applier.run(running) })
	group.Go(func() error { return r.transport.run(running) })
	group.Go(func() error {
		defer stop()
		return r.loop(ctx, running)
	})
	err := group.Wait()
	r.giveUp()
	if closeErr := r.store.Close(); err == nil {
		err = closeErr
	}
	return err
}

// PeerHandler serves the calls of other members.
func (r *Replica) PeerHandler() http.Handler {
	return apiv1.NewPeerServer(&peerService{replica: r})
}

// PeerPath is the URL path prefix that PeerHandler serves.
const PeerPath = apiv1.PeerPathPrefix
