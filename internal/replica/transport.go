package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/storage"
)

// transport sends messages to the other members. Each member has a sender of its
// own, so that an unreachable member does not delay messages to the others.
type transport struct {
	config          Config
	store           *storage.Store
	counters        counters
	snapshotResults chan snapshotResult // of the snapshots that were sent

	mu               sync.Mutex         // guards the fields below
	members          map[uint64]string  // addresses in the latest membership by incarnation
	learnedAddresses map[uint64]string  // addresses by incarnation that received requests gave as their sender's
	senders          map[uint64]*sender // by incarnation
	group            *errgroup.Group    // of the senders; nil unless run is active
	ctx              context.Context    //nolint:containedctx // of the senders, which start when first needed
}

// maxLearnedAddresses bounds the addresses that are kept besides those of the
// membership.
const maxLearnedAddresses = 64

func newTransport(config Config, store *storage.Store, c counters) *transport {
	return &transport{
		config:           config,
		store:            store,
		counters:         c,
		snapshotResults:  make(chan snapshotResult, maxLearnedAddresses),
		members:          make(map[uint64]string),
		learnedAddresses: make(map[uint64]string),
		senders:          make(map[uint64]*sender),
	}
}

// run allows senders to start, and returns after ctx ends and all of them have
// stopped.
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

// addressOf returns the address of an incarnation, or an empty string if it is
// unknown.
func (t *transport) addressOf(incarnation uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addressOfLocked(incarnation)
}

// addressOfLocked is addressOf for callers that hold mu.
func (t *transport) addressOfLocked(incarnation uint64) string {
	if address := t.members[incarnation]; address != "" {
		return address
	}
	return t.learnedAddresses[incarnation]
}

// callsTo describes the calls to the incarnation.
func (t *transport) callsTo(incarnation uint64, now time.Time) callSummary {
	t.mu.Lock()
	s := t.senders[incarnation]
	t.mu.Unlock()
	if s == nil {
		return (&callTimes{}).summary(now)
	}
	return s.times.summary(now)
}

// messageTime returns how long messages of the member self take at present to majorities of each of the memberships. Those
// of which that is not known are left out; false if it is known of none.
func (t *transport) messageTime(memberships []*apiv1.Membership, self uint64, now time.Time) (time.Duration, bool) {
	longest, known := time.Duration(0), false
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, membership := range memberships {
		if messageTime, ok := t.majorityTime(membership.GetVoters(), self, now); ok {
			longest, known = max(longest, messageTime), true
		}
	}
	return longest, known
}

// majorityTime returns how long messages take at present to as many other voters as a majority needs, the fastest ones.
// While calls to all of them are known or in progress, as in an election, those that don't answer count with the time
// that they have taken so far. Otherwise they are left out; false if none answers. Voters whose process is gone or has lost
// its disk are known not to answer.
func (t *transport) majorityTime(voters []*apiv1.MemberInfo, self uint64, now time.Time) (time.Duration, bool) {
	var known, waits []time.Duration
	needed, others, gone := len(voters)/2+1, len(voters), 0
	for _, voter := range voters {
		if voter.GetIncarnation() == self {
			needed, others = needed-1, others-1
			continue
		}
		s := t.senders[voter.GetIncarnation()]
		if s == nil {
			continue
		}
		if typical, ok := s.times.typical(now, t.config.CallTimeout); ok {
			known = append(known, typical)
		} else if s.times.isGone() {
			gone++
		} else if waited, ok := s.times.waited(now); ok {
			waits = append(waits, waited)
		}
	}
	times := known
	if len(known)+len(waits)+gone == others {
		times = append(times, waits...)
	}
	slices.Sort(times)
	if needed = min(needed, len(times)); needed > 0 {
		return times[needed-1], true
	}
	return 0, false
}

// learnAddress records the address that a request gave as its sender's. It is
// used to answer a member that this member's membership does not list (yet).
func (t *transport) learnAddress(incarnation uint64, address string) {
	if incarnation == 0 || address == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.learnedAddresses) >= maxLearnedAddresses {
		clear(t.learnedAddresses)
	}
	t.learnedAddresses[incarnation] = address
}

// updateMembership replaces the addresses by those of a changed membership and
// stops the senders to incarnations that are not in it or have another address.
//
// The departing voters are in another membership that still counts.
func (t *transport) updateMembership(membership *apiv1.Membership, departing []*apiv1.MemberInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = memberAddresses(membership)
	for _, member := range departing {
		t.members[member.GetIncarnation()] = member.GetAddress()
	}
	for incarnation, s := range t.senders {
		if t.members[incarnation] != s.address {
			close(s.stop)
			delete(t.senders, incarnation)
		}
	}
}

// send queues the messages. A message that can't be queued is dropped; the core
// sends it again where that is needed.
func (t *transport) send(messages []*apiv1.RaftMessage) {
	for _, message := range messages {
		s := t.sender(message.GetTo())
		if s != nil && s.enqueue(message) {
			continue
		}
		t.counters.messagesDropped.Inc(1)
		if message.GetType() == apiv1.RaftMessage_TYPE_SNAPSHOT {
			select {
			case t.snapshotResults <- snapshotResult{message.GetTo(), false}:
			default: // the core gives the snapshot up in time
			}
		}
	}
}

// sender returns the sender to an incarnation and starts it if there is none. It
// returns nil if the address is unknown or run is not active.
func (t *transport) sender(incarnation uint64) *sender {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.senders[incarnation]; s != nil {
		return s
	}
	address := t.addressOfLocked(incarnation)
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
