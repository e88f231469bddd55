package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/balance"
)

var (
	start       = time.Unix(1_700_000_000, 0)
	sameDomain  = &apiv1.Location{Region: "sur", FailureDomain: "sur-montevideo"}
	otherDomain = &apiv1.Location{Region: "sur", FailureDomain: "sur-canelones"}
	otherRegion = &apiv1.Location{Region: "norte", FailureDomain: "norte-salto"}
)

type testEndpoint struct {
	id       string
	location *apiv1.Location
	slots    int32
}

func updatePool(p *balance.Pool, now time.Time, members ...testEndpoint) {
	var endpoints []*apiv1.Endpoint
	grants := make(map[string]*apiv1.SlotHold)
	for _, m := range members {
		endpoints = append(endpoints, &apiv1.Endpoint{Id: m.id, Address: "10.0.0.1:80", Location: m.location, Slots: 8, Connections: 64})
		grants[m.id] = &apiv1.SlotHold{Endpoint: m.id, Slots: m.slots, Connections: 8 * m.slots}
	}
	p.Update(now, endpoints, grants)
}

func newPool(link *balance.LinkBudget, members ...testEndpoint) *balance.Pool {
	p := balance.NewPool(sameDomain, balance.SlotShares{}, link, 1)
	updatePool(p, start, members...)
	return p
}

// acquireAll acquires slots until none is free. It returns the count of slots by
// endpoint id.
func acquireAll(p *balance.Pool, now time.Time, request balance.Request) map[string]int {
	got := make(map[string]int)
	for {
		slot, ok := p.Acquire(now, request)
		if !ok {
			return got
		}
		got[slot.ID]++
	}
}

func TestPoolChoosesByDistance(t *testing.T) {
	all := []testEndpoint{{"here", sameDomain, 2}, {"near", otherDomain, 2}, {"far", otherRegion, 2}}
	cases := []struct {
		name    string
		members []testEndpoint
		request balance.Request
		want    map[string]int
	}{
		{"not to another region immediately", all, balance.Request{}, map[string]int{"here": 2, "near": 2}},
		{"to another region after waiting", all, balance.Request{AllowOtherRegion: true}, map[string]int{"here": 2, "near": 2, "far": 2}},
		{"to another region if there is no other endpoint", all[2:], balance.Request{}, map[string]int{"far": 2}},
		{"a tried endpoint is avoided", all, balance.Request{Avoid: map[string]bool{"here": true}}, map[string]int{"near": 2}},
		{"a tried endpoint is used if there is no other", all[:1], balance.Request{Avoid: map[string]bool{"here": true}}, map[string]int{"here": 2}},
		{"no request without a grant", []testEndpoint{{"here", sameDomain, 0}}, balance.Request{AllowOtherRegion: true}, map[string]int{}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(acquireAll(newPool(nil, test.members...), start, test.request), test.want)
		})
	}
}

func TestPoolAvoidsTheFailureDomain(t *testing.T) {
	is := is.New(t)
	p := newPool(nil, testEndpoint{"here", sameDomain, 8}, testEndpoint{"near", otherDomain, 1})
	request := balance.Request{AvoidDomain: sameDomain.GetFailureDomain()}
	first, _ := p.Acquire(start, request)
	is.Equal(first.ID, "near")
	second, _ := p.Acquire(start, request)
	is.Equal(second.ID, "here") // no other domain has a free slot
}

func TestLinkBudgetLimitsOtherRegions(t *testing.T) {
	is := is.New(t)
	link := balance.NewLinkBudget(1000, start)
	p := newPool(link, testEndpoint{"here", sameDomain, 1}, testEndpoint{"far", otherRegion, 8})
	request := balance.Request{AllowOtherRegion: true}
	is.Equal(acquireAll(p, start, request), map[string]int{"here": 1, "far": 8})
	p = newPool(link, testEndpoint{"here", sameDomain, 1}, testEndpoint{"far", otherRegion, 8})
	link.Spend(3000)
	is.Equal(acquireAll(p, start, request), map[string]int{"here": 1})
	is.Equal(acquireAll(p, start.Add(time.Second), request), map[string]int{}) // the budget is still negative
	is.Equal(acquireAll(p, start.Add(4*time.Second), request), map[string]int{"far": 8})
	is.Equal(link.TotalBytes(), int64(3000))
}

func TestSlowStartOfNewEndpoints(t *testing.T) {
	is := is.New(t)
	p := newPool(nil, testEndpoint{"old", sameDomain, 8})
	updatePool(p, start, testEndpoint{"old", sameDomain, 8}, testEndpoint{"new", sameDomain, 8})
	is.Equal(acquireAll(p, start, balance.Request{}), map[string]int{"old": 8, "new": 1})
	is.Equal(acquireAll(p, start.Add(2500*time.Millisecond), balance.Request{}), map[string]int{"new": 3})
	is.Equal(acquireAll(p, start.Add(5*time.Second), balance.Request{}), map[string]int{"new": 4})
}

// runRounds uses all free slots at once, several times. Requests to endpoints for which
// bad returns true fail.
func runRounds(p *balance.Pool, now time.Time, rounds int, bad func(id string) bool) {
	for range rounds {
		var slots []*balance.Slot
		for {
			slot, ok := p.Acquire(now, balance.Request{})
			if !ok {
				break
			}
			slots = append(slots, slot)
		}
		for _, slot := range slots {
			slot.Release(now, balance.Result{Failed: bad(slot.ID), Latency: time.Millisecond})
		}
	}
}

func TestAtMostHalfOfTheEndpointsAreEjected(t *testing.T) {
	is := is.New(t)
	for count := 1; count <= 7; count++ {
		var members []testEndpoint
		for i := range count {
			members = append(members, testEndpoint{fmt.Sprint("e", i), sameDomain, 4})
		}
		p := newPool(nil, members...)
		runRounds(p, start, 50, func(string) bool { return true })
		usage := p.Usage(start)
		is.True(usage.Ejected <= count/2)
		is.True(len(acquireAll(p, start, balance.Request{})) > 0)
	}
}

func TestSlowStartAfterEjection(t *testing.T) {
	is := is.New(t)
	p := newPool(nil, testEndpoint{"good", sameDomain, 4}, testEndpoint{"bad", sameDomain, 4})
	runRounds(p, start, 10, func(id string) bool { return id == "bad" })
	is.Equal(acquireAll(p, start, balance.Request{}), map[string]int{"good": 4})
	reinstatedAt := start.Add(1100 * time.Millisecond)
	is.Equal(acquireAll(p, reinstatedAt, balance.Request{}), map[string]int{"bad": 1})
	// The other endpoint leaves: the ejected one is used in spite of its failures.
	runRounds(p, start, 1, func(string) bool { return false })
	p = newPool(nil, testEndpoint{"good", sameDomain, 4}, testEndpoint{"bad", sameDomain, 4})
	runRounds(p, start, 10, func(id string) bool { return id == "bad" })
	updatePool(p, start, testEndpoint{"bad", sameDomain, 4})
	is.True(acquireAll(p, start, balance.Request{})["bad"] > 0)
}

func TestRemovedEndpointKeepsRequestsInFlight(t *testing.T) {
	is := is.New(t)
	p := newPool(nil, testEndpoint{"leaving", sameDomain, 2}, testEndpoint{"staying", sameDomain, 2})
	slot, _ := p.Acquire(start, balance.Request{Avoid: map[string]bool{"staying": true}})
	updatePool(p, start, testEndpoint{"staying", sameDomain, 2})
	is.Equal(acquireAll(p, start, balance.Request{}), map[string]int{"staying": 2})
	none := func(string) int { return 0 }
	is.Equal(len(p.Holds(none)), 2) // the removed one still counts
	slot.Release(start, balance.Result{})
	is.Equal(len(p.Holds(none)), 1)
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	budget := balance.NewRetryBudget()
	withdrawn := 0
	for budget.Withdraw() {
		withdrawn++
	}
	is.Equal(withdrawn, 10)
	for range 100 {
		budget.Deposit()
	}
	is.True(budget.Withdraw())
}
