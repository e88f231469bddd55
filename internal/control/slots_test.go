package control_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control"
)

// fakeLedger grants every endpoint whole to whoever asks.
type fakeLedger struct {
	mu      sync.Mutex
	expired []string
}

func (f *fakeLedger) Renew(
	_ string, _ []*apiv1.SlotHold, _ []*apiv1.ServiceDemand, endpoints []*apiv1.Endpoint,
) []*apiv1.SlotHold {
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
		config.NewSlots = func() control.SlotLedger {
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
