package entry

import (
	"fmt"
	"sort"
	"time"

	"github.com/pistachioport/pistachioport/internal/balance"
)

func (m *model) enqueue(e *modelEntry, r *modelRequest) {
	w := newWaiter(r.class, "caller", modelStartTime.Add(r.deadline), modelStartTime.Add(r.arrived))
	w.avoid = r.avoid
	e.requests[w] = r
	e.queue.add(w)
	if e.queue.size > defaultMaxQueueLength {
		m.shed(e, e.queue.leastUrgent())
	}
}

func (m *model) shed(e *modelEntry, w *waiter) {
	e.queue.remove(w)
	m.ifMeasured(e.requests[w], func() { m.result.shed++ })
	delete(e.requests, w)
}

// ifMeasured calls record if the request arrived after the warm-up.
func (m *model) ifMeasured(r *modelRequest, record func()) {
	if r.arrived >= modelWarmUp {
		record()
	}
}

func (m *model) dispatch(e *modelEntry) {
	for e.queue.size > 0 && m.dispatchOne(e) {
	}
}

func (m *model) dispatchOne(e *modelEntry) bool {
	served := false
	e.queue.inOrder(e.inFlight, func(w *waiter) bool {
		if m.now > e.requests[w].deadline {
			m.shed(e, w)
			served = true
			return false
		}
		slot, ok := e.pool.Acquire(m.wallTime(), w.slotRequest(m.wallTime(), defaultSpillAfter))
		if !ok {
			return true
		}
		r := e.requests[w]
		e.queue.remove(w)
		delete(e.requests, w)
		m.send(e, r, slot)
		served = true
		return false
	})
	return served
}

func networkLatency(p balance.Proximity) time.Duration {
	return []time.Duration{500 * time.Microsecond, time.Millisecond, 8 * time.Millisecond}[p]
}

func (m *model) send(e *modelEntry, r *modelRequest, slot *balance.Slot) {
	sent := m.now
	var number int
	_, _ = fmt.Sscanf(slot.ID, "e%d", &number)
	endpoint := m.endpoints[number]
	if slot.Proximity == balance.OtherRegion {
		e.link.Spend(modelBytesPerRequest)
		m.ifMeasured(r, func() { m.result.linkBytes += modelBytesPerRequest })
	}
	m.schedule(networkLatency(slot.Proximity), func() {
		m.ifMeasured(r, func() { m.result.sent++ })
		start := func() { m.serve(e, r, slot, endpoint, sent) }
		if endpoint.busy >= modelSlots {
			m.ifMeasured(r, func() { m.result.overSlots++ })
			endpoint.waiting = append(endpoint.waiting, start)
			return
		}
		start()
	})
}

func (m *model) serve(e *modelEntry, r *modelRequest, slot *balance.Slot, endpoint *modelEndpoint, sent time.Duration) {
	endpoint.busy++
	length := time.Duration(m.random.ExpFloat64() * float64(m.meanServiceTime(endpoint)))
	failed := endpoint.failing && m.random.Float64() < 0.5
	if failed {
		length /= 10
	}
	m.recordWait(r)
	m.schedule(length, func() {
		m.ifMeasured(r, func() { m.result.busy += length })
		endpoint.busy--
		if len(endpoint.waiting) > 0 {
			next := endpoint.waiting[0]
			endpoint.waiting = endpoint.waiting[1:]
			next()
		}
		m.schedule(networkLatency(slot.Proximity), func() { m.finish(e, r, slot, failed, sent) })
	})
}

func (m *model) recordWait(r *modelRequest) {
	m.ifMeasured(r, func() {
		if r.class == urgent {
			m.result.urgent = append(m.result.urgent, m.now-r.arrived)
		} else {
			m.result.bulk = append(m.result.bulk, m.now-r.arrived)
		}
	})
}

func (m *model) finish(e *modelEntry, r *modelRequest, slot *balance.Slot, failed bool, sent time.Duration) {
	slot.Release(m.wallTime(), balance.Result{Latency: m.now - sent, Failed: failed})
	r.tries++
	switch {
	case !failed:
		m.ifMeasured(r, func() { m.result.done++ })
	case r.tries < maxTries && e.retryBudget.Withdraw():
		r.avoid[slot.ID] = true
		m.enqueue(e, r)
	default:
		m.ifMeasured(r, func() { m.result.failed++ })
	}
	m.dispatch(e)
}

func quantile(waits []time.Duration, q float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	return waits[int(q*float64(len(waits)-1))]
}
