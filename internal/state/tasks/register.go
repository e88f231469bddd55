package tasks

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// goneWorkerRetentionMs is how long a worker is kept after its lease expired.
const goneWorkerRetentionMs = 24 * 60 * 60 * 1000

// registerWorker adds a worker, or marks it alive again. A new boot ends the
// attempts of the previous boot. An earlier boot, whose request was delayed, is
// ignored. The capacity of a boot never changes.
func (t *Table) registerWorker(m *apiv1.Worker) {
	if m.GetName() == "" || m.GetBoot() == "" || resources.FromMessage(m.GetCapacity()).Negative() {
		return
	}
	w := t.lockWorker(m.GetName())
	switch {
	case w == nil:
		t.addWorker(m)
	case w.boot == m.GetBoot():
		t.markAlive(w)
	case !w.superseded(m.GetBoot()):
		t.restartWorker(w, m)
	}
}

func (t *Table) addWorker(m *apiv1.Worker) {
	w := &worker{
		name:         m.GetName(),
		boot:         m.GetBoot(),
		location:     m.GetLocation(),
		capacity:     resources.FromMessage(m.GetCapacity()),
		liveAttempts: make(map[string]*attempt),
		lostAttempts: make(map[string]*attempt),
	}
	t.workers.lockShard(w.name).values[w.name] = w
	t.capacities[w.capacity]++
	t.markAlive(w)
	t.updateNeverRunnable()
}

// markAlive marks the worker as alive, if it is not.
func (t *Table) markAlive(w *worker) {
	if w.alive {
		return
	}
	w.alive = true
	w.expiredAt = 0
	t.aliveWorkers++
	w.bumpOrdersRevision()
	t.markWorkerChanged(w.name)
}

// restartWorker replaces the worker's boot by a new one.
func (t *Table) restartWorker(w *worker, m *apiv1.Worker) {
	t.endQuarantine(w)
	w.failures = nil
	t.loseAttempts(w, "its worker restarted")
	clear(w.lostAttempts) // the new boot does not have these attempts
	w.replaceBoot(m.GetBoot())
	w.location = m.GetLocation()
	capacity := resources.FromMessage(m.GetCapacity())
	if capacity != w.capacity {
		t.removeCapacity(w.capacity)
		t.capacities[capacity]++
		w.capacity = capacity
		t.updateNeverRunnable()
	}
	t.markAlive(w)
	w.bumpOrdersRevision()
	t.markWorkerChanged(w.name)
}

func (t *Table) removeCapacity(capacity resources.Amount) {
	t.capacities[capacity]--
	if t.capacities[capacity] == 0 {
		delete(t.capacities, capacity)
	}
}

// expireWorker marks a worker as gone whose lease expired, and ends its attempts.
func (t *Table) expireWorker(m *apiv1.WorkerExpiry) {
	w := t.lockWorker(m.GetName())
	if w == nil || w.boot != m.GetBoot() || !w.alive {
		return
	}
	w.alive = false
	w.expiredAt = t.now
	t.aliveWorkers--
	t.loseAttempts(w, "its worker's lease ran out")
	w.bumpOrdersRevision()
	t.markWorkerChanged(w.name)
	t.releaseLocks()
	t.forgetGoneWorkers()
}

// loseAttempts ends all live attempts of the worker's boot as lost.
func (t *Table) loseAttempts(w *worker, detail string) {
	for _, id := range sortedKeys(w.liveAttempts) {
		a, ok := w.liveAttempts[id]
		if !ok {
			continue
		}
		j := t.lockJob(a.job)
		task := j.tasks[a.index]
		t.endAttempt(j, w, a)
		t.onLost(j, w, task, a, detail)
		t.reconcileJob(j)
	}
}

// forgetGoneWorkers deletes workers that have been gone for
// goneWorkerRetentionMs.
func (t *Table) forgetGoneWorkers() {
	dropped := false
	for _, name := range t.workers.names() {
		w := t.lockWorker(name)
		if !w.alive && t.now-w.expiredAt >= goneWorkerRetentionMs {
			delete(t.workers.lockShard(name).values, name)
			t.removeCapacity(w.capacity)
			delete(t.quarantined, name)
			t.markWorkerChanged(name)
			dropped = true
		}
		t.releaseLocks()
	}
	if dropped {
		t.updateNeverRunnable()
	}
}
