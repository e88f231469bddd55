package control_test

import (
	"context"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control"
)

// fakeSlotAllocator grants all slots of every endpoint to every session.
type fakeSlotAllocator struct {
	mu       sync.Mutex
	expired  []string
	sequence uint64
}

func (f *fakeSlotAllocator) SetLocation(string, *apiv1.Location) {}

func (f *fakeSlotAllocator) RenewNumbered(
	_ string, sequence uint64, _ []*apiv1.SlotHold, _ []*apiv1.ServiceDemand, endpoints []*apiv1.Endpoint,
) []*apiv1.SlotHold {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence = max(f.sequence, sequence)
	var grants []*apiv1.SlotHold
	for _, each := range endpoints {
		grants = append(grants, &apiv1.SlotHold{Endpoint: each.GetId(), Slots: each.GetSlots()})
	}
	return grants
}

func (f *fakeSlotAllocator) Expire(session string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expired = append(f.expired, session)
}

func (f *fakeSlotAllocator) lastSequence() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sequence
}

func (f *fakeSlotAllocator) expiredSessions() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.expired
}

func TestSlotsAreGrantedWithRenewalsAndFreedWithTheLease(t *testing.T) {
	is := is.New(t)
	allocator := &fakeSlotAllocator{}
	allocators := 0
	r := newRig(t, func(config *control.Config) {
		config.NewSlotAllocator = func() control.SlotAllocator {
			allocators++
			return allocator
		}
	})
	r.becomeLeader()
	is.NoErr(r.announce("a"))
	answer := r.renew("s", 0)
	is.Equal(answer.GetGrants()[0].GetSlots(), int32(8))
	r.expireEarlierLeases()
	r.eventually("the session's slots are freed", func() bool { return len(allocator.expiredSessions()) == 1 })
	r.log.becomeFollower()
	r.becomeLeader()
	is.Equal(allocators, 2) // each term gets its own allocator
}

func TestUnchangedGrantsAreOmittedFromTheResponse(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(config *control.Config) {
		config.NewSlotAllocator = func() control.SlotAllocator { return &fakeSlotAllocator{} }
	})
	r.becomeLeader()
	is.NoErr(r.announce("a"))
	first := r.renew("s", 0)
	is.Equal(len(first.GetGrants()), 1)

	tagged := renewal("s", first.GetRevision())
	tagged.HoldsTag = first.GetGrantsTag()
	answer, err := r.entries().Renew(t.Context(), tagged)
	is.NoErr(err)
	is.True(answer.GetGrantsUnchanged())
	is.Equal(len(answer.GetGrants()), 0)

	is.NoErr(r.announce("b"))
	answer, err = r.entries().Renew(t.Context(), tagged)
	is.NoErr(err)
	is.True(!answer.GetGrantsUnchanged())
	is.Equal(len(answer.GetGrants()), 2)

	_, err = r.entries().Renew(t.Context(), tagged) // the tag is no longer that of the last grants
	var refusal twirp.Error
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Meta("refusal"), "unknown-tag")
}

func TestSupersededRenewalIsRefused(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	request := renewal("s", 0)
	request.Sequence = 2
	_, err := r.entries().Renew(t.Context(), request)
	is.NoErr(err)
	request.Sequence = 1
	_, err = r.entries().Renew(t.Context(), request)
	is.True(err != nil)
}

func TestWaitingRenewalSupersededByANewerOneIsRefused(t *testing.T) {
	is := is.New(t)
	allocator := &fakeSlotAllocator{}
	r := newRig(t, func(config *control.Config) {
		config.NewSlotAllocator = func() control.SlotAllocator { return allocator }
	})
	r.becomeLeader()
	r.renew("s", 0)
	release := r.log.blockBarriers()
	renew := func() <-chan error {
		request := renewal("s", 0)
		request.WaitMs = 1
		done := make(chan error, 1)
		go func() {
			_, err := r.entries().Renew(context.Background(), request)
			done <- err
		}()
		return done
	}
	older := renew()
	r.eventually("the older renewal waits", func() bool { return allocator.lastSequence() == 2 })
	newer := renew()
	r.eventually("the newer renewal waits", func() bool { return allocator.lastSequence() == 3 })
	release()
	is.Equal(twirpCode(<-older), twirp.Aborted)
	is.NoErr(<-newer)
}
