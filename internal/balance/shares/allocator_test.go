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

var locations = []*apiv1.Location{
	location("sur", "sur-montevideo"),
	location("sur", "sur-canelones"),
	location("norte", "norte-salto"),
}

func endpoints(count int) []*apiv1.Endpoint {
	var all []*apiv1.Endpoint
	for i := range count {
		all = append(all, &apiv1.Endpoint{
			Id: fmt.Sprintf("e%02d", i), Service: "dispatch", Location: locations[i%len(locations)],
			Slots: 8, Connections: 64,
		})
	}
	return all
}

// testEntry models an entry. It may use its last grants until its lease expires, and
// keeps requests in flight until they end.
type testEntry struct {
	session          string
	sequence         uint64
	granted          map[string]int32 // slots, by endpoint id
	inFlight         map[string]int32 // requests, by endpoint id
	demand           int32
	leaderResponseAt time.Duration // when a leader last handled a renewal of the entry
	sent             time.Duration // when the last renewal with a response was sent
}

func (e *testEntry) holds() []*apiv1.SlotHold {
	var holds []*apiv1.SlotHold
	for id := range unionOfKeys(e.granted, e.inFlight) {
		slots := max(e.granted[id], e.inFlight[id])
		holds = append(holds, &apiv1.SlotHold{Endpoint: id, Slots: slots, Connections: 8 * slots})
	}
	return holds
}

func unionOfKeys(a, b map[string]int32) map[string]bool {
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

func (e *testEntry) applyGrants(grants []*apiv1.SlotHold) {
	e.granted = make(map[string]int32)
	for _, grant := range grants {
		e.granted[grant.GetEndpoint()] = grant.GetSlots()
	}
}

// The slots that all entries may use of an endpoint never exceed its slots, also when
// responses are lost, renewals are superseded or repeated, entries restart, and the
// leader changes.
func TestGrantsNeverExceedAnEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"":          func(t *rapid.T) { m.checkCapacity(t) },
			"renew":     func(t *rapid.T) { m.renew(t, true) },
			"lose":      func(t *rapid.T) { m.renew(t, false) },
			"replay":    func(t *rapid.T) { m.replayRenewal(t) },
			"fly":       func(t *rapid.T) { m.sendRequests(t) },
			"land":      func(t *rapid.T) { m.finishRequests(t) },
			"demand":    func(t *rapid.T) { m.drawEntry(t).demand = rapid.Int32Range(0, 60).Draw(t, "demand") },
			"pass":      func(t *rapid.T) { m.advanceClock(t) },
			"die":       func(t *rapid.T) { m.restartEntry(t) },
			"newLeader": func(*rapid.T) { m.electLeader() },
		})
	})
}

type sentRenewal struct {
	testEntry *testEntry
	sequence  uint64
	holds     []*apiv1.SlotHold
}

type model struct {
	clock     *clock.Manual
	allocator *shares.Allocator
	endpoints []*apiv1.Endpoint
	entries   []*testEntry
	dead      []*testEntry // their sessions may not have expired yet
	sent      []sentRenewal
	started   int // count of started entries
}

func newModel(t *rapid.T) *model {
	m := &model{
		clock:     clock.NewManual(time.Unix(1_700_000_000, 0)),
		endpoints: endpoints(rapid.IntRange(1, 6).Draw(t, "endpoints")),
	}
	m.electLeader()
	m.clock.Advance(time.Minute)
	for range rapid.IntRange(1, 5).Draw(t, "entries") {
		m.startEntry()
	}
	return m
}

func (m *model) startEntry() {
	m.started++
	m.entries = append(m.entries, &testEntry{
		session:  fmt.Sprintf("s%03d", m.started),
		granted:  make(map[string]int32),
		inFlight: make(map[string]int32),
	})
}

func (m *model) electLeader() {
	m.allocator = shares.NewAllocator(shares.Options{Clock: m.clock, LeaseLength: leaseLength})
	m.sent = nil // renewals to the old leader get no response
	for _, e := range slices.Concat(m.dead, m.entries) {
		e.leaderResponseAt = m.now() // the latest time at which the old leader can have responded
	}
}

func (m *model) now() time.Duration { return m.clock.Read().Monotonic }

func (m *model) drawEntry(t *rapid.T) *testEntry {
	return rapid.SampledFrom(m.entries).Draw(t, "entry")
}

// dropExpiredGrants drops an entry's grants once its lease has expired.
func (m *model) dropExpiredGrants(e *testEntry) {
	if m.now() >= e.sent+leaseLength {
		e.granted = make(map[string]int32)
	}
}

func (m *model) renew(t *rapid.T, receivesResponse bool) {
	e := m.drawEntry(t)
	m.dropExpiredGrants(e)
	e.sequence++
	renewal := sentRenewal{testEntry: e, sequence: e.sequence, holds: e.holds()}
	m.sent = append(m.sent, renewal)
	sentAt := m.now()
	grants := m.handleRenewal(renewal)
	if receivesResponse {
		e.sent = sentAt
		e.applyGrants(grants)
	}
}

func (m *model) handleRenewal(r sentRenewal) []*apiv1.SlotHold {
	r.testEntry.leaderResponseAt = m.now()
	m.allocator.SetLocation(r.testEntry.session, locations[len(r.testEntry.session)%len(locations)])
	demand := []*apiv1.ServiceDemand{{Service: "dispatch", InFlight: r.testEntry.demand}}
	return m.allocator.RenewNumbered(r.testEntry.session, r.sequence, r.holds, demand, m.endpoints)
}

// replayRenewal handles a copy of an earlier renewal, whose response is dropped.
func (m *model) replayRenewal(t *rapid.T) {
	if len(m.sent) > 0 {
		m.handleRenewal(rapid.SampledFrom(m.sent).Draw(t, "copy"))
	}
}

func (m *model) sendRequests(t *rapid.T) {
	e := m.drawEntry(t)
	m.dropExpiredGrants(e)
	for id, granted := range e.granted {
		e.inFlight[id] = max(e.inFlight[id], rapid.Int32Range(0, granted).Draw(t, "in flight"))
	}
}

func (m *model) finishRequests(t *rapid.T) {
	e := m.drawEntry(t)
	e.inFlight = make(map[string]int32)
}

func (m *model) advanceClock(t *rapid.T) {
	m.clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	for _, e := range slices.Concat(m.dead, m.entries) {
		if m.now() >= e.leaderResponseAt+leaseLength*21/20 {
			m.allocator.Expire(e.session)
			e.inFlight = make(map[string]int32) // requests in flight after the lease has expired are not covered by the guarantee
		}
	}
}

func (m *model) restartEntry(t *rapid.T) {
	index := rapid.IntRange(0, len(m.entries)-1).Draw(t, "dies")
	dead := m.entries[index]
	dead.demand = 0
	m.dead = append(m.dead, dead)
	m.entries = append(m.entries[:index:index], m.entries[index+1:]...)
	m.entries = append(m.entries, &testEntry{session: dead.session + "'", granted: map[string]int32{}, inFlight: map[string]int32{}})
}

func (m *model) checkCapacity(t *rapid.T) {
	for _, endpoint := range m.endpoints {
		var sum int32
		for _, e := range m.entries {
			m.dropExpiredGrants(e)
			sum += max(e.granted[endpoint.GetId()], e.inFlight[endpoint.GetId()])
		}
		if sum > endpoint.GetSlots() {
			t.Fatalf("entries may use %d slots of %q, which has %d", sum, endpoint.GetId(), endpoint.GetSlots())
		}
	}
}

// runRenewalRounds makes every entry renew several times. It returns the slots granted to
// each.
func runRenewalRounds(allocator *shares.Allocator, all []*apiv1.Endpoint, demand []int32, count int) []int32 {
	held := make([][]*apiv1.SlotHold, len(demand))
	for range count {
		for i := range demand {
			session := fmt.Sprintf("s%02d", i)
			allocator.SetLocation(session, locations[i%len(locations)])
			held[i] = allocator.Renew(session, held[i], []*apiv1.ServiceDemand{{Service: "dispatch", Waiting: demand[i]}}, all)
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

// newReadyAllocator returns an allocator after earlier leaders' grants have expired.
func newReadyAllocator() (*shares.Allocator, *clock.Manual) {
	c := clock.NewManual(time.Unix(1_700_000_000, 0))
	allocator := shares.NewAllocator(shares.Options{Clock: c})
	c.Advance(time.Minute)
	return allocator, c
}

func TestGrantsFollowDemand(t *testing.T) {
	cases := []struct {
		name   string
		demand []int32
		least  []int32 // least slots of each entry
	}{
		{"one busy entry gets most slots", []int32{300, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, []int32{300, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}},
		{"equal demand above the capacity is divided equally", []int32{99, 99, 99, 99, 99, 99, 99, 99, 99, 99, 99, 99}, []int32{30, 30, 30, 30, 30, 30, 30, 30, 30, 30, 30, 30}},
		{"small needs are met in full", []int32{900, 900, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10}, []int32{100, 100, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			allocator, _ := newReadyAllocator()
			got := runRenewalRounds(allocator, endpoints(50), test.demand, 6)
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

func TestScarceSlotsRotateAmongEntries(t *testing.T) {
	is := is.New(t)
	allocator, c := newReadyAllocator()
	few := endpoints(1) // 8 slots for 12 entries
	granted := make([]bool, 12)
	held := make([][]*apiv1.SlotHold, 12)
	for range 100 {
		c.Advance(250 * time.Millisecond)
		for i := range held {
			held[i] = allocator.Renew(fmt.Sprintf("s%02d", i), held[i], []*apiv1.ServiceDemand{{Service: "dispatch", Waiting: 5}}, few)
			granted[i] = granted[i] || len(held[i]) > 0
		}
	}
	for i := range granted {
		is.True(granted[i]) // every entry had slots at some time
	}
}

func TestNothingNewIsGrantedBeforeEarlierGrantsExpire(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_700_000_000, 0))
	allocator := shares.NewAllocator(shares.Options{Clock: c, LeaseLength: leaseLength})
	all := endpoints(1)
	demand := []*apiv1.ServiceDemand{{Service: "dispatch", Waiting: 8}}
	is.Equal(len(allocator.Renew("new", nil, demand, all)), 0)
	held := allocator.Renew("old", []*apiv1.SlotHold{{Endpoint: "e00", Slots: 3, Connections: 24}}, demand, all)
	is.Equal(held[0].GetSlots(), int32(3))
	c.Advance(leaseLength * 21 / 20)
	is.True(allocator.EarlierGrantsExpired())
	is.True(allocator.Renew("new", nil, demand, all)[0].GetSlots() > 0)
}
