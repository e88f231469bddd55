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
	cut     bool                                                        // no request passes
	lost    func(*apiv1.RenewWorkerResponse) bool                       // which answers don't pass; nil: none
	replace func(*apiv1.RenewWorkerResponse) *apiv1.RenewWorkerResponse // what passes instead; nil: itself
}

func (l *link) Renew(ctx context.Context, request *apiv1.RenewWorkerRequest) (*apiv1.RenewWorkerResponse, error) {
	if l.isCut() {
		return nil, errCut
	}
	response, err := l.platform.Renew(ctx, request)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
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

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
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
