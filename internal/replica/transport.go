package replica

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/storage"
)

// transport sends messages to the other members. Each has a sender of its own,
// so that an unreachable member delays no other.
type transport struct {
	config          Config
	store           *storage.Store
	counters        counters
	failedSnapshots chan uint64 // incarnations to which a snapshot could not be sent

	mu      sync.Mutex
	members map[uint64]string // addresses of the present membership
	learned map[uint64]string // addresses that senders of messages gave
	senders map[uint64]*sender
	group   *errgroup.Group // nil until run
	ctx     context.Context //nolint:containedctx // of the senders, which begin when first needed
}

// maxLearned bounds the addresses remembered besides the membership's.
const maxLearned = 64

func newTransport(config Config, store *storage.Store, c counters) *transport {
	return &transport{
		config:          config,
		store:           store,
		counters:        c,
		failedSnapshots: make(chan uint64, maxLearned),
		members:         make(map[uint64]string),
		learned:         make(map[uint64]string),
		senders:         make(map[uint64]*sender),
	}
}

// run lets senders work until ctx ends.
func (t *transport) run(ctx context.Context) error {
	t.mu.Lock()
	t.group = &errgroup.Group{}
	t.ctx = ctx
	t.mu.Unlock()
	<-ctx.Done()
	t.mu.Lock()
	group := t.group
	t.group = nil
	t.mu.Unlock()
	return group.Wait()
}

// address returns where to reach an incarnation; empty if unknown.
func (t *transport) address(incarnation uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addressLocked(incarnation)
}

func (t *transport) addressLocked(incarnation uint64) string {
	if address := t.members[incarnation]; address != "" {
		return address
	}
	return t.learned[incarnation]
}

// learn remembers the address that a sender of messages gave.
func (t *transport) learn(incarnation uint64, address string) {
	if incarnation == 0 || address == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.learned) >= maxLearned {
		clear(t.learned)
	}
	t.learned[incarnation] = address
}

// update takes over a changed membership and ends the senders to those who
// left it.
func (t *transport) update(membership *apiv1.Membership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = memberAddresses(membership)
	for incarnation, s := range t.senders {
		if t.members[incarnation] != s.address {
			close(s.stop)
			delete(t.senders, incarnation)
		}
	}
}

// send queues the messages. One that can't be queued is dropped; the core
// sends again.
func (t *transport) send(messages []*apiv1.RaftMessage) {
	for _, message := range messages {
		s := t.sender(message.GetTo())
		if s == nil || !s.enqueue(message) {
			t.counters.messagesDropped.Inc(1)
		}
	}
}

func (t *transport) sender(incarnation uint64) *sender {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.senders[incarnation]; s != nil {
		return s
	}
	address := t.addressLocked(incarnation)
	if address == "" || t.group == nil {
		return nil
	}
	s := newSender(t, incarnation, address)
	t.senders[incarnation] = s
	ctx := t.ctx
	t.group.Go(func() error { return s.run(ctx) })
	t.group.Go(func() error { return s.runSnapshots(ctx) })
	return s
}
