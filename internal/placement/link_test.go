package placement_test

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

var (
	errCut  = errors.New("the link is cut")
	errLost = errors.New("the response is lost")
)

// link is the network between a worker and the leader, with faults.
type link struct {
	platform apiv1.Platform

	mu              sync.Mutex
	inFlight        int                                                         // requests that have not returned
	cut             bool                                                        // no request or response passes
	dropResponse    func(*apiv1.RenewWorkerResponse) bool                       // which responses are lost; nil: none
	rewriteResponse func(*apiv1.RenewWorkerResponse) *apiv1.RenewWorkerResponse // changes responses; nil: unchanged
}

func (l *link) Renew(ctx context.Context, request *apiv1.RenewWorkerRequest) (*apiv1.RenewWorkerResponse, error) {
	if !l.admit() {
		return nil, errCut
	}
	response, err := l.platform.Renew(ctx, request)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if err != nil {
		return nil, err
	}
	if l.cut {
		return nil, errCut
	}
	if l.dropResponse != nil && l.dropResponse(response) {
		return nil, errLost
	}
	if l.rewriteResponse != nil {
		return l.rewriteResponse(response), nil
	}
	return response, nil
}

// admit reports whether a request may pass, and counts it as in flight.
func (l *link) admit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		l.inFlight++
	}
	return !l.cut
}

// cutPastLease cuts the link and advances the clock past the worker's lease. It waits
// for requests in flight first, because they would extend the lease from the new
// time.
func (c *testLeader) cutPastLease(l *link) {
	l.set(func(l *link) { l.cut = true })
	c.waitFor("no request is on its way", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.inFlight == 0
	})
	c.clock.Advance(pastLease)
}

// set changes the link's fields under its lock.
func (l *link) set(change func(*link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

// ordersStart reports whether the response orders an attempt to run.
func ordersStart(response *apiv1.RenewWorkerResponse) bool {
	for _, order := range response.GetOrders() {
		if order.GetKind() == apiv1.Order_KIND_RUN {
			return true
		}
	}
	return false
}
