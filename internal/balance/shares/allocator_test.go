package shares_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/balance/shares"
	"github.com/pistachioport/pistachioport/internal/clock"
)

const leaseLength = 4 * time.Second

func location(region, domain string) *apiv1.Location {
	return &apiv1.Location{Region: region, FailureDomain: domain}
}

var places = []*apiv1.Location{
	location("sur", "sur-montevideo"),
	location("sur", "sur-canelones"),
	location("norte", "norte-salto"),
}

func endpoints(count int) []*apiv1.Endpoint {
	var all []*apiv1.Endpoint
	for i := range count {
		all = append(all, &apiv1.Endpoint{
			Id: fmt.Sprintf("e%02d", i), Service: "dispatch", Location: places[i%len(places)],
			Slots: 8, Connections: 64,
		})
	}
	return all
}

// user is an entry: it may use what it was last granted until its lease ends,
// and what is in flight until that is over.
type user struct {
	session  string
	sequence uint64
	may      map[string]int32 // slots granted, by endpoint
	flying   map[string]int32 // in flight, by endpoint
	demand   int32
	answered time.Duration // when the leader last answered
	sent     time.Duration
}

func (u *user) holds() []*apiv1.SlotHold {
	var holds []*apiv1.SlotHold
	for id := range union(u.may, u.flying) {
		slots := max(u.may[id], u.flying[id])
		holds = append(holds, &apiv1.SlotHold{Endpoint: id, Slots: slots, Connections: 8 * slots})
	}
	return holds
}

func union(a, b map[string]int32) map[string]bool {
	all := make(map[string]bool)
	for _, m := range []map[string]int32{a, b} {
		for id, n := range m {
			if n > 0 {
				all[id] = true
			}
		}
	}
	return all
}

func (u *user) take(grants []*apiv1.SlotHold) {
	u.may = make(map[string]int32)
	for _, grant := range grants {
		u.may[grant.GetEndpoint()] = grant.GetSlots()
	}
}

// TestLedgerNeverExceedsAnEndpoint drives entries that renew, lose answers,
// overtake their own renewals, die, and leaders that change. What all entries
// may use of an endpoint must never exceed its slots.
func TestLedgerNeverExceedsAnEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"":          func(t *rapid.T) { w.check(t) },
			"renew":     func(t *rapid.T) { w.renew(t, true) },
			"lose":      func(t *rapid.T) { w.renew(t, false) },
			"replay":    func(t *rapid.T) { w.replay(t) },
			"fly":       func(t *rapid.T) { w.fly(t) },
			"land":      func(t *rapid.T) { w.land(t) },
			"demand":    func(t *rapid.T) { w.one(t).demand = rapid.Int32Range(0, 60).Draw(t, "demand") },
			"pass":      func(t *rapid.T) { w.pass(t) },
			"die":       func(t *rapid.T) { w.die(t) },
			"newLeader": func(*rapid.T) { w.elect() },
		})
	})
}

type sentRenewal struct {
	user     *user
	sequence uint64
	holds    []*apiv1.SlotHold
}

type world struct {
	clock     *clock.Manual
	ledger    *shares.Allocator
	endpoints []*apiv1.Endpoint
	users     []*user
	dead      []*user // their sessions are not yet expired
	sent      []sentRenewal
	started   int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		clock:     clock.NewManual(time.Unix(1_700_000_000, 0)),
		endpoints: endpoints(rapid.IntRange(1, 6).Draw(t, "endpoints")),
	}
	w.elect()
	w.clock.Advance(time.Minute)
	for range rapid.IntRange(1, 5).Draw(t, "entries") {
		w.start()
	}
	return w
}

func (w *world) start() {
	w.started++
	w.users = append(w.users, &user{
		session: fmt.Sprintf("s%03d", w.started),
		may:     make(map[string]int32),
		flying:  make(map[string]int32),
	})
}

func (w *world) elect() {
	w.ledger = shares.NewAllocator(shares.Options{Clock: w.clock, LeaseLength: leaseLength})
	w.sent = nil // renewals to the old leader are never answered
	for _, u := range slices.Concat(w.dead, w.users) {
		u.answered = w.now() // at the latest
	}
}

func (w *world) now() time.Duration { return w.clock.Read().Monotonic }

func (w *world) one(t *rapid.T) *user {
	return rapid.SampledFrom(w.users).Draw(t, "entry")
}

// lapse drops a user's grants once its lease has run out.
func (w *world) lapse(u *user) {
	if w.now() >= u.sent+leaseLength {
		u.may = make(map[string]int32)
	}
}

func (w *world) renew(t *rapid.T, answered bool) {
	u := w.one(t)
	w.lapse(u)
	u.sequence++
	renewal := sentRenewal{user: u, sequence: u.sequence, holds: u.holds()}
	w.sent = append(w.sent, renewal)
	at := w.now()
	grants := w.handle(renewal)
	if answered {
		u.sent = at
		u.take(grants)
	}
}

func (w *world) handle(r sentRenewal) []*apiv1.SlotHold {
	r.user.answered = w.now()
	w.ledger.SetLocation(r.user.session, places[len(r.user.session)%len(places)])
	demand := []*apiv1.ServiceDemand{{Service: "dispatch", InFlight: r.user.demand}}
	return w.ledger.RenewNumbered(r.user.session, r.sequence, r.holds, demand, w.endpoints)
}

// replay handles a copy of an earlier renewal, whose answer nobody reads.
func (w *world) replay(t *rapid.T) {
	if len(w.sent) > 0 {
		w.handle(rapid.SampledFrom(w.sent).Draw(t, "copy"))
	}
}

func (w *world) fly(t *rapid.T) {
	u := w.one(t)
	w.lapse(u)
	for id, may := range u.may {
		u.flying[id] = max(u.flying[id], rapid.Int32Range(0, may).Draw(t, "in flight"))
	}
}

func (w *world) land(t *rapid.T) {
	u := w.one(t)
	u.flying = make(map[string]int32)
}

func (w *world) pass(t *rapid.T) {
	w.clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	for _, u := range slices.Concat(w.dead, w.users) {
		if w.now() >= u.answered+leaseLength*21/20 {
			w.ledger.Expire(u.session)
			u.flying = make(map[string]int32) // what is in flight past the lease is outside the promise
		}
	}
}

func (w *world) die(t *rapid.T) {
	at := rapid.IntRange(0, len(w.users)-1).Draw(t, "dies")
	dead := w.users[at]
	dead.demand = 0
	w.dead = append(w.dead, dead)
	w.users = append(w.users[:at:at], w.users[at+1:]...)
	w.users = append(w.users, &user{session: dead.session + "'", may: map[string]int32{}, flying: map[string]int32{}})
}

func (w *world) check(t *rapid.T) {
	for _, endpoint := range w.endpoints {
		var sum int32
		for _, u := range w.users {
			w.lapse(u)
			sum += max(u.may[endpoint.GetId()], u.flying[endpoint.GetId()])
		}
		if sum > endpoint.GetSlots() {
			t.Fatalf("entries may use %d slots of %q, which has %d", sum, endpoint.GetId(), endpoint.GetSlots())
		}
	}
}

// rounds lets every entry renew several times and returns what each may use.
func rounds(ledger *shares.Allocator, all []*apiv1.Endpoint, demand []int32, count int) []int32 {
	held := make([][]*apiv1.SlotHold, len(demand))
	for range count {
		for i := range demand {
			session := fmt.Sprintf("s%02d", i)
			ledger.SetLocation(session, places[i%len(places)])
			held[i] = ledger.Renew(session, held[i], []*apiv1.ServiceDemand{{Service: "dispatch", Waiting: demand[i]}}, all)
		}
	}
	sums := make([]int32, len(demand))
	for i, grants := range held {
		for _, grant := range grants {
			sums[i] += grant.GetSlots()
		}
	}
	return sums
}

func settled() (*shares.Allocator, *clock.Manual) {
	c := clock.NewManual(time.Unix(1_700_000_000, 0))
	ledger := shares.NewAllocator(shares.Options{Clock: c})
	c.Advance(time.Minute)
	return ledger, c
}

func TestLedgerFollowsDemand(t *testing.T) {
	cases := []struct {
		name   string
		demand []int32
		least  []int32 // slots that each entry must have
	}{
		{"one busy entry gets most", []int32{300, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, []int32{300, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}},
		{"equal demand past the capacity is divided equally", []int32{99, 99, 99, 99, 99, 99, 99, 99, 99, 99, 99, 99}, []int32{30, 30, 30, 30, 30, 30, 30, 30, 30, 30, 30, 30}},
		{"small needs are met whole", []int32{900, 900, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10}, []int32{100, 100, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ledger, _ := settled()
			got := rounds(ledger, endpoints(50), test.demand, 6)
			var sum int32
			for i := range got {
				sum += got[i]
				if got[i] < test.least[i] {
					t.Errorf("entry %d may use %d slots, fewer than %d", i, got[i], test.least[i])
				}
			}
			is.True(sum <= 400)
		})
	}
}

func TestLedgerTakesTurnsWhenSlotsAreTooFew(t *testing.T) {
	is := is.New(t)
	ledger, c := settled()
	few := endpoints(1) // 8 slots for 12 entries
	had := make([]bool, 12)
	held := make([][]*apiv1.SlotHold, 12)
	for range 100 {
		c.Advance(250 * time.Millisecond)
		for i := range held {
			held[i] = ledger.Renew(fmt.Sprintf("s%02d", i), held[i], []*apiv1.ServiceDemand{{Service: "dispatch", Waiting: 5}}, few)
			had[i] = had[i] || len(held[i]) > 0
		}
	}
	for i := range had {
		is.True(had[i]) // every entry had a turn
	}
}

func TestLedgerGrantsNothingNewBeforeEarlierGrantsRanOut(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_700_000_000, 0))
	ledger := shares.NewAllocator(shares.Options{Clock: c, LeaseLength: leaseLength})
	all := endpoints(1)
	want := []*apiv1.ServiceDemand{{Service: "dispatch", Waiting: 8}}
	is.Equal(len(ledger.Renew("new", nil, want, all)), 0)
	kept := ledger.Renew("old", []*apiv1.SlotHold{{Endpoint: "e00", Slots: 3, Connections: 24}}, want, all)
	is.Equal(kept[0].GetSlots(), int32(3))
	c.Advance(leaseLength * 21 / 20)
	is.True(ledger.EarlierGrantsExpired())
	is.True(ledger.Renew("new", nil, want, all)[0].GetSlots() > 0)
}
