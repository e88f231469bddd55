package entry

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/balance"
	"github.com/pistachioport/pistachioport/internal/balance/shares"
	"github.com/pistachioport/pistachioport/internal/clock"
)

// Parameters of the comparison, after the present size of the installation.
const (
	modelEntries          = 12
	modelEndpoints        = 50
	modelSlots            = 8
	modelMeanServiceTime  = 50 * time.Millisecond // mean of an exponential distribution
	modelSlowEndpoints    = 5                     // endpoints whose service time is longer by modelSlowFactor
	modelSlowFactor       = 4
	modelFailingEndpoints = 3 // endpoints that fail half of their requests, in a tenth of the service time
	modelWarmUp           = 5 * time.Second
	modelRampUp           = 3 * time.Second // from a tenth of the load to all of it, within the warm-up
	modelMeasuredTime     = 10 * time.Second
	modelBytesPerRequest  = 8 << 10 // of a request and its response
	modelUnsharedSlots    = 64      // of each endpoint for each entry when slots are not shared by an allocator
	urgentShare           = 0.4
	urgentDeadline        = time.Second
	bulkDeadline          = 10 * time.Second
)

var modelStartTime = time.Unix(1_700_000_000, 0)

// model is a discrete-event simulation of the balancing policies in virtual time.
// Pools, allocator and queues are the real ones. Simulated endpoints serve
// modelSlots requests at once and queue the rest in order of arrival.
type model struct {
	policy    func() balance.Policy
	shared    bool // the allocator divides the slots among the entries
	random    *rand.Rand
	now       time.Duration
	events    events
	sequence  int
	clock     *clock.Manual
	allocator *shares.Allocator
	endpoints []*modelEndpoint
	entries   []*modelEntry
	result    modelResult
}

type modelEndpoint struct {
	announced *apiv1.Endpoint
	slow      bool
	failing   bool
	busy      int
	waiting   []func()
}

type modelEntry struct {
	session     string
	location    *apiv1.Location
	loadWeight  float64
	pool        *balance.Pool
	link        *balance.LinkBudget
	queue       *queue
	inFlight    map[string]int
	requests    map[*waiter]*modelRequest
	retryBudget *balance.RetryBudget
	grants      map[string]*apiv1.SlotHold
	sequence    uint64
}

type modelRequest struct {
	class    apiv1.Class
	arrived  time.Duration
	deadline time.Duration
	avoid    map[string]bool
	tries    int
}

// modelResult holds the figures of one row of the table.
type modelResult struct {
	urgent, bulk []time.Duration // from arrival until service begins
	done, failed int
	shed         int // removed from a queue that was full, or past their deadline
	busy         time.Duration
	overSlots    int // requests that reached an endpoint whose slots were all in use
	sent         int
	linkBytes    int64 // over the link between regions
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newModel(policy func() balance.Policy, shared bool) *model {
	m := &model{policy: policy, shared: shared, random: rand.New(rand.NewPCG(7, 7)), clock: clock.NewManual(modelStartTime)}
	m.allocator = shares.NewAllocator(shares.Options{Clock: m.clock})
	m.clock.Advance(time.Minute)
	places := []*apiv1.Location{
		{Region: "sur", FailureDomain: "sur-montevideo"},
		{Region: "sur", FailureDomain: "sur-canelones"},
		{Region: "norte", FailureDomain: "norte-salto"},
	}
	for i := range modelEndpoints {
		m.endpoints = append(m.endpoints, &modelEndpoint{
			announced: &apiv1.Endpoint{
				Id: fmt.Sprintf("e%02d", i), Service: "dispatch", Address: "10.0.0.1:80",
				Location: places[i%3], Slots: modelSlots, Connections: 8 * modelSlots,
			},
			slow:    i < modelSlowEndpoints,
			failing: i >= modelSlowEndpoints && i < modelSlowEndpoints+modelFailingEndpoints,
		})
	}
	for i := range modelEntries {
		m.addEntry(i, places[i%3])
	}
	return m
}

// addEntry adds an entry. The first entry of each failure domain has the most
// load, and region "sur" has slightly more load than its share of the endpoints.
func (m *model) addEntry(i int, location *apiv1.Location) {
	link := balance.NewLinkBudget(defaultLinkBytesPerSecond, modelStartTime)
	loadWeight := 1 / float64(1+i/3)
	if location.GetRegion() == "norte" {
		loadWeight *= 0.8
	}
	m.entries = append(m.entries, &modelEntry{
		session: fmt.Sprintf("s%02d", i), location: location, loadWeight: loadWeight, link: link,
		pool:        balance.NewPool(location, m.policy(), link, uint64(i)),
		queue:       newQueue(),
		inFlight:    make(map[string]int),
		requests:    make(map[*waiter]*modelRequest),
		retryBudget: balance.NewRetryBudget(),
	})
}

func (m *model) wallTime() time.Time { return modelStartTime.Add(m.now) }

func (m *model) schedule(d time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, event{at: m.now + d, sequence: m.sequence, run: run})
}

// capacity returns how many requests per second all endpoints can serve together.
func (m *model) capacity() float64 {
	var sum float64
	for _, e := range m.endpoints {
		sum += modelSlots / m.meanServiceTime(e).Seconds()
	}
	return sum
}

func (m *model) meanServiceTime(e *modelEndpoint) time.Duration {
	if e.slow {
		return modelMeanServiceTime * modelSlowFactor
	}
	return modelMeanServiceTime
}

func (m *model) run(load float64) modelResult {
	var total float64
	for _, e := range m.entries {
		total += e.loadWeight
	}
	for i, e := range m.entries {
		m.schedule(time.Duration(i)*time.Millisecond, func() { m.renew(e) })
		rate := load * m.capacity() * e.loadWeight / total
		m.schedule(100*time.Millisecond, func() { m.arrive(e, rate) })
		m.tick(e)
	}
	for len(m.events) > 0 {
		next := heap.Pop(&m.events).(event)
		if next.at > modelWarmUp+modelMeasuredTime {
			break
		}
		m.clock.Advance(next.at - m.now)
		m.now = next.at
		next.run()
	}
	return m.result
}

func (m *model) tick(e *modelEntry) {
	m.dispatch(e)
	m.schedule(dispatchInterval, func() { m.tick(e) })
}

// renew simulates one long poll. The entry's holds are those at its start, and
// changed grants are returned after grantResponseDelay.
func (m *model) renew(e *modelEntry) {
	e.sequence++
	holds := e.pool.Holds(func(string) int { return 0 })
	wait := renewWait(m.demand(e))
	if m.shared && grantsDiffer(e.grants, m.grants(e, holds)) {
		wait = min(wait, grantResponseDelay)
	}
	m.schedule(wait, func() {
		e.grants = m.grants(e, holds)
		e.pool.Update(m.wallTime(), m.announced(), e.grants)
		m.dispatch(e)
		m.renew(e)
	})
}

// grantResponseDelay is how long control takes to respond to a renewal when its
// grants have changed.
const grantResponseDelay = 20 * time.Millisecond

func (m *model) announced() []*apiv1.Endpoint {
	var all []*apiv1.Endpoint
	for _, endpoint := range m.endpoints {
		all = append(all, endpoint.announced)
	}
	return all
}

// grants returns the allocator's grants, or modelUnsharedSlots of each endpoint if
// slots are not shared.
func (m *model) grants(e *modelEntry, holds []*apiv1.SlotHold) map[string]*apiv1.SlotHold {
	grants := make(map[string]*apiv1.SlotHold)
	if !m.shared {
		for _, endpoint := range m.endpoints {
			grants[endpoint.announced.GetId()] = &apiv1.SlotHold{Slots: modelUnsharedSlots, Connections: modelUnsharedSlots}
		}
		return grants
	}
	m.allocator.SetLocation(e.session, e.location)
	demand := []*apiv1.ServiceDemand{m.demand(e)}
	for _, grant := range m.allocator.RenewNumbered(e.session, e.sequence, holds, demand, m.announced()) {
		grants[grant.GetEndpoint()] = grant
	}
	return grants
}

func (m *model) demand(e *modelEntry) *apiv1.ServiceDemand {
	return &apiv1.ServiceDemand{
		Service:  "dispatch",
		InFlight: int32(e.pool.Usage(m.wallTime()).InFlight),
		Waiting:  int32(e.queue.size),
	}
}

func grantsDiffer(a, b map[string]*apiv1.SlotHold) bool {
	if len(a) != len(b) {
		return true
	}
	for id := range a {
		if a[id].GetSlots() != b[id].GetSlots() {
			return true
		}
	}
	return false
}

func (m *model) arrive(e *modelEntry, rate float64) {
	r := &modelRequest{class: bulk, arrived: m.now, deadline: m.now + bulkDeadline, avoid: make(map[string]bool)}
	if m.random.Float64() < urgentShare {
		r.class, r.deadline = urgent, m.now+urgentDeadline
	}
	e.retryBudget.Deposit()
	m.enqueue(e, r)
	m.dispatch(e)
	present := rate * min(1, max(0.1, m.now.Seconds()/modelRampUp.Seconds()))
	m.schedule(time.Duration(m.random.ExpFloat64()/present*float64(time.Second)), func() { m.arrive(e, rate) })
}
