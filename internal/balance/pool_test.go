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
	begin = time.Unix(1_700_000_000, 0)
	here  = &apiv1.Location{Region: "sur", FailureDomain: "sur-montevideo"}
	near  = &apiv1.Location{Region: "sur", FailureDomain: "sur-canelones"}
	far   = &apiv1.Location{Region: "norte", FailureDomain: "norte-salto"}
)

type member struct {
	id    string
	at    *apiv1.Location
	slots int32
}

func update(p *balance.Pool, now time.Time, members ...member) {
	var endpoints []*apiv1.Endpoint
	grants := make(map[string]*apiv1.SlotHold)
	for _, m := range members {
		endpoints = append(endpoints, &apiv1.Endpoint{Id: m.id, Address: "10.0.0.1:80", Location: m.at, Slots: 8, Connections: 64})
		grants[m.id] = &apiv1.SlotHold{Endpoint: m.id, Slots: m.slots, Connections: 8 * m.slots}
	}
	p.Update(now, endpoints, grants)
}

func pool(link *balance.LinkBudget, members ...member) *balance.Pool {
	p := balance.NewPool(here, balance.SlotShares{}, link, 1)
	update(p, begin, members...)
	return p
}

// drain acquires slots until none is free and returns how many of each
// endpoint were given.
func drain(p *balance.Pool, now time.Time, request balance.Request) map[string]int {
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
	all := []member{{"here", here, 2}, {"near", near, 2}, {"far", far, 2}}
	cases := []struct {
		name    string
		members []member
		request balance.Request
		want    map[string]int
	}{
		{"not to another region at once", all, balance.Request{}, map[string]int{"here": 2, "near": 2}},
		{"to another region after waiting", all, balance.Request{AllowOtherRegion: true}, map[string]int{"here": 2, "near": 2, "far": 2}},
		{"to another region if there is no other endpoint", all[2:], balance.Request{}, map[string]int{"far": 2}},
		{"a tried endpoint is avoided", all, balance.Request{Avoid: map[string]bool{"here": true}}, map[string]int{"near": 2}},
		{"a tried endpoint is taken if there is no other", all[:1], balance.Request{Avoid: map[string]bool{"here": true}}, map[string]int{"here": 2}},
		{"no grant, no request", []member{{"here", here, 0}}, balance.Request{AllowOtherRegion: true}, map[string]int{}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(drain(pool(nil, test.members...), begin, test.request), test.want)
		})
	}
}

func TestPoolLeavesTheFailureDomain(t *testing.T) {
	is := is.New(t)
	p := pool(nil, member{"here", here, 8}, member{"near", near, 1})
	request := balance.Request{AvoidDomain: here.GetFailureDomain()}
	first, _ := p.Acquire(begin, request)
	is.Equal(first.ID, "near")
	second, _ := p.Acquire(begin, request)
	is.Equal(second.ID, "here") // no other domain has a free slot
}

func TestLinkBudgetBoundsSpilling(t *testing.T) {
	is := is.New(t)
	link := balance.NewLinkBudget(1000, begin)
	p := pool(link, member{"here", here, 1}, member{"far", far, 8})
	request := balance.Request{AllowOtherRegion: true}
	is.Equal(drain(p, begin, request), map[string]int{"here": 1, "far": 8})
	p = pool(link, member{"here", here, 1}, member{"far", far, 8})
	link.Spend(3000)
	is.Equal(drain(p, begin, request), map[string]int{"here": 1})
	is.Equal(drain(p, begin.Add(time.Second), request), map[string]int{}) // still overdrawn
	is.Equal(drain(p, begin.Add(4*time.Second), request), map[string]int{"far": 8})
	is.Equal(link.TotalBytes(), int64(3000))
}

func TestNewEndpointsStartSlowly(t *testing.T) {
	is := is.New(t)
	p := pool(nil, member{"old", here, 8})
	update(p, begin, member{"old", here, 8}, member{"new", here, 8})
	is.Equal(drain(p, begin, balance.Request{}), map[string]int{"old": 8, "new": 1})
	is.Equal(drain(p, begin.Add(2500*time.Millisecond), balance.Request{}), map[string]int{"new": 3})
	is.Equal(drain(p, begin.Add(5*time.Second), balance.Request{}), map[string]int{"new": 4})
}

// fail has every endpoint fail its next requests.
func fail(p *balance.Pool, now time.Time, rounds int, bad func(id string) bool) {
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

func TestEjectionNeverTakesEveryone(t *testing.T) {
	is := is.New(t)
	for count := 1; count <= 7; count++ {
		var members []member
		for i := range count {
			members = append(members, member{fmt.Sprint("e", i), here, 4})
		}
		p := pool(nil, members...)
		fail(p, begin, 50, func(string) bool { return true })
		usage := p.Usage(begin)
		is.True(usage.Ejected <= count/2)
		is.True(len(drain(p, begin, balance.Request{})) > 0)
	}
}

func TestEjectedEndpointComesBackSlowly(t *testing.T) {
	is := is.New(t)
	p := pool(nil, member{"good", here, 4}, member{"bad", here, 4})
	fail(p, begin, 10, func(id string) bool { return id == "bad" })
	is.Equal(drain(p, begin, balance.Request{}), map[string]int{"good": 4})
	back := begin.Add(1100 * time.Millisecond)
	is.Equal(drain(p, back, balance.Request{}), map[string]int{"bad": 1})
	// The others leave: the ejected one must serve.
	fail(p, begin, 1, func(string) bool { return false })
	p = pool(nil, member{"good", here, 4}, member{"bad", here, 4})
	fail(p, begin, 10, func(id string) bool { return id == "bad" })
	update(p, begin, member{"bad", here, 4})
	is.True(drain(p, begin, balance.Request{})["bad"] > 0)
}

func TestWithdrawnEndpointKeepsWhatIsInFlight(t *testing.T) {
	is := is.New(t)
	p := pool(nil, member{"leaving", here, 2}, member{"staying", here, 2})
	slot, _ := p.Acquire(begin, balance.Request{Avoid: map[string]bool{"staying": true}})
	update(p, begin, member{"staying", here, 2})
	is.Equal(drain(p, begin, balance.Request{}), map[string]int{"staying": 2})
	none := func(string) int { return 0 }
	is.Equal(len(p.Holds(none)), 2) // the leaving one still counts
	slot.Release(begin, balance.Result{})
	is.Equal(len(p.Holds(none)), 1)
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	budget := balance.NewRetryBudget()
	spent := 0
	for budget.Withdraw() {
		spent++
	}
	is.Equal(spent, 10)
	for range 100 {
		budget.Deposit()
	}
	is.True(budget.Withdraw())
}
