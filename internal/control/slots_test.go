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

// fakeLedger grants every endpoint whole to whoever asks.
type fakeLedger struct {
	mu       sync.Mutex
	expired  []string
	sequence uint64
}

func (f *fakeLedger) Locate(string, *apiv1.Location) {}

func (f *fakeLedger) RenewInSequence(
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

func (f *fakeLedger) Expire(session string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expired = append(f.expired, session)
}

func (f *fakeLedger) lastSequence() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sequence
}

func (f *fakeLedger) sessions() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.expired
}

func TestSlotsAreGrantedWithRenewalsAndFreedWithTheLease(t *testing.T) {
	is := is.New(t)
	ledger := &fakeLedger{}
	ledgers := 0
	r := newRig(t, func(config *control.Config) {
		config.NewSlotAllocator = func() control.SlotAllocator {
			ledgers++
			return ledger
		}
	})
	r.lead()
	is.NoErr(r.announce("a"))
	answer := r.renew("s", 0)
	is.Equal(answer.GetGrants()[0].GetSlots(), int32(8))
	r.settle()
	r.eventually("the session's slots are freed", func() bool { return len(ledger.sessions()) == 1 })
	r.log.follow()
	r.lead()
	is.Equal(ledgers, 2) // each term has its own
}

func TestUnchangedGrantsAreLeftOutOfTheAnswer(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(config *control.Config) {
		config.NewSlotAllocator = func() control.SlotAllocator { return &fakeLedger{} }
	})
	r.lead()
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

	_, err = r.entries().Renew(t.Context(), tagged) // no longer the last one
	var refusal twirp.Error
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Meta("refusal"), "unknown-tag")
}

func TestOvertakenRenewalIsRefused(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.lead()
	request := renewal("s", 0)
	request.Sequence = 2
	_, err := r.entries().Renew(t.Context(), request)
	is.NoErr(err)
	request.Sequence = 1
	_, err = r.entries().Renew(t.Context(), request)
	is.True(err != nil)
}

func TestWaitingRenewalThatANewerOneOvertookIsRefused(t *testing.T) {
	is := is.New(t)
	ledger := &fakeLedger{}
	r := newRig(t, func(config *control.Config) {
		config.NewSlotAllocator = func() control.SlotAllocator { return ledger }
	})
	r.lead()
	r.renew("s", 0)
	release := r.log.hold()
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
	r.eventually("the older renewal waits", func() bool { return ledger.lastSequence() == 2 })
	newer := renew()
	r.eventually("the newer renewal waits", func() bool { return ledger.lastSequence() == 3 })
	release()
	is.Equal(code(<-older), twirp.Aborted)
	is.NoErr(<-newer)
}
