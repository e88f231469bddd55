package tasks

import (
	"math"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// NoRevision is a revision that no orders have.
const NoRevision = math.MaxUint64

// Orders is all that a worker shall do at one moment.
type Orders struct {
	Known    bool // the worker is registered with this boot, and alive
	Revision uint64
	Orders   []*apiv1.Order  // sorted by attempt id
	Changed  <-chan struct{} // closed at the next change
}

// Orders returns what the worker's boot shall hold. If its revision is the one
// already seen, Orders.Orders is left out.
func (t *Table) Orders(name, boot string, seen uint64) Orders {
	one := &t.workers.all[place(name)]
	one.mu.Lock()
	defer one.mu.Unlock()
	w, ok := one.values[name]
	if !ok || w.boot != boot || !w.alive {
		return Orders{}
	}
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	orders := Orders{Known: true, Revision: w.ordersRevision, Changed: w.changed}
	if w.ordersRevision != seen {
		orders.Orders = w.orders()
	}
	return orders
}

func (w *worker) orders() []*apiv1.Order {
	orders := make([]*apiv1.Order, 0, len(w.live)+len(w.lost))
	for _, id := range ids(w.live) {
		a := w.live[id]
		orders = append(orders, &apiv1.Order{Kind: a.order(), Attempt: a.message(), Command: a.command})
	}
	for _, id := range ids(w.lost) {
		orders = append(orders, &apiv1.Order{
			Kind:    apiv1.Order_KIND_STOP,
			Attempt: w.lost[id].message(),
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

// HoldsAttempt reports whether the attempt is one of the worker's boot that still
// counts, or whose fate is still open.
func (t *Table) HoldsAttempt(name, boot, id string) bool {
	holds := false
	t.workers.read(name, func(w *worker, ok bool) {
		if !ok || w.boot != boot {
			return
		}
		_, live := w.live[id]
		_, lost := w.lost[id]
		holds = live || lost
	})
	return holds
}

// WorkerBoot returns the boot that is registered under the name, whether it is
// alive, and whether the given boot is an earlier one.
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

// Boot names one boot of a worker.
type Boot struct {
	Worker string
	Boot   string
}

// AliveBoots returns the boots of all workers that count as alive.
func (t *Table) AliveBoots() []Boot {
	var all []Boot
	t.workers.readAll(func(w *worker) {
		if w.alive {
			all = append(all, Boot{Worker: w.name, Boot: w.boot})
		}
	})
	return all
}
