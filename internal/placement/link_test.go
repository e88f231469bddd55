package placement_test

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

var (
	errCut  = errors.New("the link is cut")
	errLost = errors.New("the answer is lost")
)

// link stands between a worker and the leader.
type link struct {
	platform apiv1.Platform

	mu      sync.Mutex
	passing int                                                         // requests on their way
	cut     bool                                                        // no request passes
	lost    func(*apiv1.RenewWorkerResponse) bool                       // which answers don't pass; nil: none
	replace func(*apiv1.RenewWorkerResponse) *apiv1.RenewWorkerResponse // what passes instead; nil: itself
}

func (l *link) Renew(ctx context.Context, request *apiv1.RenewWorkerRequest) (*apiv1.RenewWorkerResponse, error) {
	if !l.enter() {
		return nil, errCut
	}
	response, err := l.platform.Renew(ctx, request)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.passing--
	if err != nil {
		return nil, err
	}
	if l.cut {
		return nil, errCut
	}
	if l.lost != nil && l.lost(response) {
		return nil, errLost
	}
	if l.replace != nil {
		return l.replace(response), nil
	}
	return response, nil
}

// enter lets a request in unless the link is cut.
func (l *link) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		l.passing++
	}
	return !l.cut
}

// outlast cuts the link and advances the clock past the worker's lease. A request
// on its way would extend the lease from the new time, so it waits for them first.
func (c *cell) outlast(l *link) {
	l.set(func(l *link) { l.cut = true })
	c.until("no request is on its way", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.passing == 0
	})
	c.clock.Advance(leaseOver)
}

// set changes the link's fields under its lock.
func (l *link) set(change func(*link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

// starts reports whether the answer orders an attempt to run.
func starts(response *apiv1.RenewWorkerResponse) bool {
	for _, order := range response.GetOrders() {
		if order.GetKind() == apiv1.Order_KIND_RUN {
			return true
		}
	}
	return false
}
