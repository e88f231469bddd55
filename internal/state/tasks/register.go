package tasks

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// forgetWorkerMs is how long after its lease a worker is forgotten.
const forgetWorkerMs = 24 * 60 * 60 * 1000

// register makes a worker known, or alive again. A new boot ends the attempts
// of the boot before; an earlier boot, whose request was held up somewhere, is
// refused. The capacity of one boot never changes.
func (t *Table) register(m *apiv1.Worker) {
	if m.GetName() == "" || m.GetBoot() == "" || resources.FromMessage(m.GetCapacity()).Negative() {
		return
	}
	w := t.worker(m.GetName())
	switch {
	case w == nil:
		t.addWorker(m)
	case w.boot == m.GetBoot():
		t.revive(w)
	case !w.superseded(m.GetBoot()):
		t.restart(w, m)
	}
}

func (t *Table) addWorker(m *apiv1.Worker) {
	w := &worker{
		name:     m.GetName(),
		boot:     m.GetBoot(),
		location: m.GetLocation(),
		capacity: resources.FromMessage(m.GetCapacity()),
		live:     make(map[string]*attempt),
		lost:     make(map[string]*attempt),
	}
	t.workers.write(w.name).values[w.name] = w
	t.capacities[w.capacity]++
	t.revive(w)
	t.checkNever()
}

func (t *Table) revive(w *worker) {
	if w.alive {
		return
	}
	w.alive = true
	w.goneAt = 0
	t.alive++
	w.bump()
	t.dirtyWorker(w.name)
}

func (t *Table) restart(w *worker, m *apiv1.Worker) {
	t.endQuarantine(w)
	w.failures = nil
	t.loseAll(w, "its worker restarted")
	clear(w.lost) // the new boot can't know them
	w.replaceBoot(m.GetBoot())
	w.location = m.GetLocation()
	capacity := resources.FromMessage(m.GetCapacity())
	if capacity != w.capacity {
		t.dropCapacity(w.capacity)
		t.capacities[capacity]++
		w.capacity = capacity
		t.checkNever()
	}
	t.revive(w)
	w.bump()
	t.dirtyWorker(w.name)
}

func (t *Table) dropCapacity(capacity resources.Amount) {
	t.capacities[capacity]--
	if t.capacities[capacity] == 0 {
		delete(t.capacities, capacity)
	}
}

// expire declares a worker gone, whose lease ran out.
func (t *Table) expire(m *apiv1.WorkerExpiry) {
	w := t.worker(m.GetName())
	if w == nil || w.boot != m.GetBoot() || !w.alive {
		return
	}
	w.alive = false
	w.goneAt = t.now
	t.alive--
	t.loseAll(w, "its worker's lease ran out")
	w.bump()
	t.dirtyWorker(w.name)
	t.release()
	t.forgetWorkers()
}

// loseAll ends all attempts of the worker's boot.
func (t *Table) loseAll(w *worker, why string) {
	for _, id := range ids(w.live) {
		a, ok := w.live[id]
		if !ok {
			continue
		}
		j := t.job(a.job)
		k := j.tasks[a.index]
		t.end(j, w, a)
		t.lose(j, w, k, a, why)
		t.afterEnd(j)
	}
}

// forgetWorkers drops workers that have been gone for long.
func (t *Table) forgetWorkers() {
	dropped := false
	for _, name := range t.workers.names() {
		w := t.worker(name)
		if !w.alive && t.now-w.goneAt >= forgetWorkerMs {
			delete(t.workers.write(name).values, name)
			t.dropCapacity(w.capacity)
			delete(t.quarantined, name)
			t.dirtyWorker(name)
			dropped = true
		}
		t.release()
	}
	if dropped {
		t.checkNever()
	}
}
