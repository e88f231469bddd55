package dispatch

import (
	"context"
	"math"
	"slices"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// advice holds the policy service's decisions about a unit. The set of allowed
// workers does not change, but the tickets expire.
type advice struct {
	callsInFlight  int
	retryAt        time.Time           // earliest next call
	fruitlessCalls int                 // consecutive calls after which no task could be started; at most maxFruitlessCalls
	tickets        map[*worker]*ticket // workers asked about; a nil ticket means denied
	allowedTickets []*ticket           // the tickets that are not nil
	allowedWorkers workerSet           // their workers
	deferred       bool                // in the last attempt to place the unit, a call could not be made
	exhausted      bool                // in that attempt, there was no worker to ask about
}

// ticket permits the unit's tasks to start on one incarnation of a worker.
type ticket struct {
	worker  *worker
	value   string
	expires time.Time
}

func (t *ticket) validAt(at time.Time) bool { return t != nil && at.Before(t.expires) }

const (
	// ticketMargin is subtracted from a ticket's validity for the transfer of the
	// answer to the leader and of the start request to the worker.
	ticketMargin = 150 * time.Millisecond
	// minAdviceRetry is the backoff between two calls for one unit. It doubles after
	// every call after which no task could be started because other units had taken
	// the capacity.
	minAdviceRetry = 100 * time.Millisecond
	maxAdviceRetry = time.Second
	// maxFruitlessCalls bounds advice.fruitlessCalls, and with it the doublings.
	maxFruitlessCalls = 4
	// adviceTimeoutMargin is added to the expected duration of a call to get its
	// timeout.
	adviceTimeoutMargin = 2 * time.Second
	// maxWorkersPerCall is the platform's limit on the workers named in one call.
	maxWorkersPerCall = 100
	// newWorkerFitFactor is the ratio of capacity asked about to capacity needed.
	// Other work takes part of the capacity before the answer arrives.
	newWorkerFitFactor = 2.5
	// allowedFitFactor is the same ratio for workers that are known to be allowed.
	allowedFitFactor = 1.3
	// freeFitWeight and emptyFitWeight estimate what fits on a worker when the
	// answer arrives, from what fits now and what would fit on the empty worker.
	freeFitWeight, emptyFitWeight = 0.7, 0.1
	// minWorkersPerCall gives placement a choice of workers even for one small task.
	minWorkersPerCall = 8
	// maxAdviceCallsPerUnit bounds the calls in flight for one unit.
	maxAdviceCallsPerUnit = 1
)

// allowed reports whether the policy is known to allow the worker.
func (a *advice) allowed(w *worker) bool { return a.tickets[w] != nil }

// allowsAny reports whether the policy is known to allow a worker that is not lost.
func (a *advice) allowsAny() bool {
	return slices.ContainsFunc(a.allowedTickets, func(t *ticket) bool { return !t.worker.lost })
}

// wasAskedAbout reports whether the policy service has answered about the worker.
func (a *advice) wasAskedAbout(w *worker) bool {
	_, ok := a.tickets[w]
	return ok
}

// recordAnswer stores the answer about the workers in asked. values holds the
// tickets of the allowed ones by worker id.
func (a *advice) recordAnswer(asked []*worker, values map[string]string, expires time.Time) {
	if a.tickets == nil {
		a.tickets = make(map[*worker]*ticket)
	}
	for _, w := range asked {
		value, ok := values[w.record.GetId()]
		t := a.tickets[w]
		switch {
		case ok && t != nil:
			t.value, t.expires = value, expires
		case ok:
			t = &ticket{worker: w, value: value, expires: expires}
			a.tickets[w] = t
			a.allowedTickets = append(a.allowedTickets, t)
			a.allowedWorkers.add(w)
		case t == nil:
			a.tickets[w] = nil
		}
	}
}

// adviceCost returns the time that the policy service needs for a call about that
// many workers.
func adviceCost(policy *apiv1.PlacementPolicy, names int) time.Duration {
	ms := policy.GetDecisionMs() + float64(names)*policy.GetPerWorkerMs()
	return time.Duration(ms * float64(time.Millisecond))
}

// needsAdvice reports whether the unit's queue has a policy and a call for the unit
// may be made now.
func (u *unit) needsAdvice(now time.Time) bool {
	return u.job.queue.GetPolicy() != nil && u.advice.callsInFlight < maxAdviceCallsPerUnit && now.After(u.advice.retryAt)
}

// callBand returns the band in which the unit's calls wait for the policy service and its starts for slots. Trial workers
// are kept idle for a unit on trial, so it does not wait behind all others, however late it is.
func (u *unit) callBand() band {
	if u.risk.onTrial() {
		return min(u.rank.band, bandOnTime)
	}
	if u.rank.overRate {
		return bandExpired // it comes after all others
	}
	return u.rank.band
}

// advisorAvailable reports whether the shortest call for the unit could be made now.
func (p *pool) advisorAvailable(u *unit, pass *passState) bool {
	cost := adviceCost(u.job.queue.GetPolicy(), minWorkersPerCall)
	known := &pass.advisors[u.callBand()][count(cost < longCallCost)]
	if *known == advisorsUnknown {
		*known = advisorsBusy
		if p.d.advisorPool.available(pass.now, cost, u.callBand()) {
			*known = advisorsFree
		}
	}
	return *known == advisorsFree
}

// mayAsk reports whether a call to the policy service may be made for the unit now. If one may only be made later,
// the unit waits for that.
func (p *pool) mayAsk(u *unit, pass *passState) bool {
	if u.job.queue.GetPolicy() == nil || u.advice.callsInFlight >= maxAdviceCallsPerUnit {
		return false
	}
	if u.needsAdvice(pass.now) && p.advisorAvailable(u, pass) {
		return true
	}
	p.d.counters.adviceDeferred.Inc(1)
	u.advice.deferred = true
	return false
}

// requestAdvice starts a call to the policy service for the unit, or postpones it
// if no advisor is available soon enough. The caller holds the lock.
func (p *pool) requestAdvice(u *unit, workers []*worker, pass *passState) {
	now := pass.now
	if len(workers) == 0 {
		u.advice.exhausted = true
		u.advice.retryAt = now.Add(minAdviceRetry)
		return
	}
	cost := adviceCost(u.job.queue.GetPolicy(), len(workers))
	address, answer, ok := p.d.advisorPool.pick(now, cost, u.callBand())
	if !ok {
		p.d.counters.adviceDeferred.Inc(1)
		u.advice.deferred = true
		u.advice.retryAt = now.Add(minAdviceRetry)
		return
	}
	pass.forgetFreeAdvisors()
	u.advice.callsInFlight++
	p.d.counters.adviceRequests.Inc(1)
	p.d.counters.adviceWorkersNamed.Inc(int64(len(workers)))
	names := make([]string, len(workers))
	for i, w := range workers {
		names[i] = w.record.GetId()
	}
	call := adviceCall{unit: u, address: address, workers: workers, sentAt: now, expectedAnswer: answer}
	p.d.spawn(func() {
		ctx, cancel := context.WithTimeout(p.d.ctx, cost+adviceTimeoutMargin)
		defer cancel()
		var resp *apiv1.AdviseResponse
		err := errPanicked
		p.d.contain("a call to the policy service", u.name(), func() {
			resp, err = p.d.Advisor.Advise(ctx, address, u.name(), names)
		})
		p.handleAdvice(call, resp, err)
	})
}

// handleAdvice handles the result of a call.
func (p *pool) handleAdvice(call adviceCall, resp *apiv1.AdviseResponse, err error) {
	received := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	u, address := call.unit, call.address
	u.unpark()
	u.advice.callsInFlight--
	u.advice.retryAt = now.Add(min(minAdviceRetry<<u.advice.fruitlessCalls, maxAdviceRetry))
	u.advice.fruitlessCalls = min(u.advice.fruitlessCalls+1, maxFruitlessCalls)
	if err != nil || resp.GetBusy() {
		p.d.counters.adviceFailed.Inc(1)
		if p.d.ctx.Err() == nil {
			p.d.Logger.Warn("advice request failed", "step", u.name(), "advisor", address, "busy", resp.GetBusy(), "error", err)
		}
		p.d.advisorPool.recordFailure(address, now)
		if p.releaseUnlessAsking(u) {
			p.requestPass()
		}
		return
	}
	p.d.counters.adviceLatency.Update(now.Sub(call.sentAt).Milliseconds())
	values := make(map[string]string, len(resp.GetTickets()))
	for _, t := range resp.GetTickets() {
		values[t.GetWorker()] = t.GetTicket()
	}
	validity := time.Duration(u.job.queue.GetPolicy().GetValidityMs()) * time.Millisecond
	u.advice.recordAnswer(call.workers, values, call.ticketExpiry(validity, received))
	p.d.Logger.Info("advice received", "step", u.name(), "asked", len(call.workers), "allowed", len(values),
		"allowed_in_all", len(u.advice.allowedTickets), "took_ms", now.Sub(call.sentAt).Milliseconds())
	p.updateAllowedShare(u.job.queue.GetName(), len(call.workers), len(values))
	if u.rank.band == bandUrgent && !u.rank.overRate {
		p.requestUrgentPass()
	}
	p.requestPass()
}

const (
	initialAllowedShare = 0.5  // allowed share before any answer
	allowedShareWeight  = 0.05 // weight of one answer in the moving average
)

// allowedShare returns the moving average of the share of workers in a call that
// the policy of the queue allows. It is at least allowedShareWeight.
func (p *pool) allowedShare(queue string) float64 {
	if share, ok := p.allowedShares[queue]; ok {
		return math.Max(share, allowedShareWeight)
	}
	return initialAllowedShare
}

// updateAllowedShare adds an answer to the queue's moving average.
func (p *pool) updateAllowedShare(queue string, asked, allowed int) {
	share := float64(allowed) / float64(max(1, asked))
	p.allowedShares[queue] = p.allowedShare(queue)*(1-allowedShareWeight) + share*allowedShareWeight
}
