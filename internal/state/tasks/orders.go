package tasks

import (
	"math"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// NoRevision is never the revision of any orders: passed to Table.Orders it asks
// for the full list.
const NoRevision = math.MaxUint64

// Orders is the complete list of a worker's orders at one revision.
type Orders struct {
	Known    bool // the worker is alive and registered with this boot; if false, the rest is empty
	Revision uint64
	Orders   []*apiv1.Order  // live attempts, then lost ones, each sorted by attempt id
	Changed  <-chan struct{} // closed at the next change
}

// Orders returns the orders for the worker's boot. If their revision equals seen,
// Orders.Orders is left empty.
func (t *Table) Orders(name, boot string, seen uint64) Orders {
	sh := &t.workers.all[shardIndex(name)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	w, ok := sh.values[name]
	if !ok || w.boot != boot || !w.alive {
		return Orders{}
	}
	if w.ordersChanged == nil {
		w.ordersChanged = make(chan struct{})
	}
	orders := Orders{Known: true, Revision: w.ordersRevision, Changed: w.ordersChanged}
	if w.ordersRevision != seen {
		orders.Orders = w.orders()
	}
	return orders
}

// orders returns an order for each live attempt, and a stop order for each lost
// one. The caller holds the worker's shard lock.
func (w *worker) orders() []*apiv1.Order {
	orders := make([]*apiv1.Order, 0, len(w.liveAttempts)+len(w.lostAttempts))
	for _, id := range sortedKeys(w.liveAttempts) {
		a := w.liveAttempts[id]
		orders = append(orders, &apiv1.Order{Kind: a.order(), Attempt: a.message(), Command: a.command})
	}
	for _, id := range sortedKeys(w.lostAttempts) {
		orders = append(orders, &apiv1.Order{
			Kind:    apiv1.Order_KIND_STOP,
			Attempt: w.lostAttempts[id].message(),
		})
	}
	return orders
}

func (a *attempt) order() apiv1.Order_Kind {
	switch {
	case !a.stopping():
		return apiv1.Order_KIND_RUN
	case a.checkpointStop:
		return apiv1.Order_KIND_CHECKPOINT_STOP
	default:
		return apiv1.Order_KIND_STOP
	}
}

// HoldsAttempt reports whether the attempt is a live one of the worker's boot, or
// a lost one whose outcome is unknown.
func (t *Table) HoldsAttempt(name, boot, id string) bool {
	held := false
	t.workers.read(name, func(w *worker, ok bool) {
		if !ok || w.boot != boot {
			return
		}
		_, live := w.liveAttempts[id]
		_, lost := w.lostAttempts[id]
		held = live || lost
	})
	return held
}

// WorkerBoot returns the worker's registered boot, whether it is alive, and
// whether the given boot is an earlier one that the registered one superseded.
func (t *Table) WorkerBoot(name, boot string) (registered string, alive, superseded bool) {
	t.workers.read(name, func(w *worker, ok bool) {
		if !ok {
			return
		}
		registered = w.boot
		alive = w.alive
		superseded = w.superseded(boot)
	})
	return registered, alive, superseded
}

// Boot identifies one boot of a worker.
type Boot struct {
	Worker string
	Boot   string
}

// AliveBoots returns the boots of all workers whose lease has not expired.
func (t *Table) AliveBoots() []Boot {
	var all []Boot
	t.workers.readAll(func(w *worker) {
		if w.alive {
			all = append(all, Boot{Worker: w.name, Boot: w.boot})
		}
	})
	return all
}
