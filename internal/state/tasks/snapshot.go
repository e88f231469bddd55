package tasks

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Snapshot returns the whole table. It is called from the applying goroutine;
// equal tables give equal bytes.
func (t *Table) Snapshot() ([]byte, error) {
	m := &apiv1.TaskTableSnapshot{
		NowUnixMs: t.now,
		JobSerial: t.jobSerial,
		Teams:     t.teamSpecs,
		Shapes:    t.shapes,
	}
	for _, name := range t.jobs.names() {
		m.Jobs = append(m.Jobs, t.jobs.all[place(name)].values[name].record())
	}
	for _, name := range t.workers.names() {
		m.Workers = append(m.Workers, t.workers.all[place(name)].values[name].record())
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return data, errors.Wrap(err, "encode the table of tasks")
}

func (j *job) record() *apiv1.JobRecord {
	r := &apiv1.JobRecord{
		Job:           j.spec,
		Serial:        j.serial,
		Generation:    j.generation,
		Removed:       j.removed,
		RemovedUnixMs: j.removedAt,
		FailedOn:      j.failedOn,
		Placed:        int32(j.placed),
	}
	for _, k := range j.tasks {
		r.Tasks = append(r.Tasks, k.record())
	}
	return r
}

func (k *task) record() *apiv1.TaskRecord {
	r := &apiv1.TaskRecord{
		State:           k.state,
		Detail:          k.detail,
		Failures:        k.failures,
		NotBeforeUnixMs: k.notBefore,
		Attempts:        k.attempts,
		Started:         k.started,
	}
	if k.live != nil {
		r.Live = k.live.message()
	}
	if k.lost != nil {
		r.Lost = k.lost.message()
	}
	return r
}

func (w *worker) record() *apiv1.WorkerRecord {
	r := &apiv1.WorkerRecord{
		Worker:           w.message(),
		Alive:            w.alive,
		FormerBoots:      w.formerBoots,
		OrdersRevision:   w.ordersRevision,
		Quarantined:      w.quarantined,
		ProbeUnixMs:      w.probeAt,
		ProbesFailed:     w.probesFailed,
		QuarantineReason: w.reason,
		Probe:            w.probe,
		GoneUnixMs:       w.goneAt,
	}
	for _, f := range w.failures {
		r.Failures = append(r.Failures, &apiv1.StartFailure{Job: f.job, Index: f.index, UnixMs: f.at, Charged: f.charged})
	}
	return r
}

// Restore replaces the table by a snapshot. The table is unchanged if the
// snapshot can't be read.
func (t *Table) Restore(snapshot []byte) error {
	m := &apiv1.TaskTableSnapshot{}
	if err := proto.Unmarshal(snapshot, m); err != nil {
		return errors.Wrap(err, "decode the table of tasks")
	}
	if err := checkSnapshot(m); err != nil {
		return err
	}
	t.wakeAll()
	t.reset()
	t.now = m.GetNowUnixMs()
	t.jobSerial = m.GetJobSerial()
	t.shapes = m.GetShapes()
	for _, r := range m.GetWorkers() {
		t.restoreWorker(r)
		t.release()
	}
	t.teamSpecs = m.GetTeams()
	for _, spec := range m.GetTeams() {
		account := t.team(spec.GetName())
		account.limited = spec.GetQuota() != nil
		account.quota = resources.FromMessage(spec.GetQuota())
	}
	for _, r := range m.GetJobs() {
		t.restoreJob(r)
		t.release()
	}
	t.checkNever()
	t.release()
	t.changes.teams(t.teamSpecs)
	t.changes.everything()
	return nil
}

// checkSnapshot finds live attempts without their worker.
func checkSnapshot(m *apiv1.TaskTableSnapshot) error {
	boots := make(map[string]string, len(m.GetWorkers()))
	for _, r := range m.GetWorkers() {
		boots[r.GetWorker().GetName()] = r.GetWorker().GetBoot()
	}
	for _, r := range m.GetJobs() {
		for _, k := range r.GetTasks() {
			live := k.GetLive()
			if live != nil && boots[live.GetWorker()] != live.GetBoot() {
				return errors.Newf("attempt %q is on worker %q, whose boot %q is not in the snapshot",
					live.GetId(), live.GetWorker(), live.GetBoot())
			}
		}
	}
	return nil
}

// wakeAll wakes every long poll, since its worker's orders may differ.
func (t *Table) wakeAll() {
	for _, name := range t.workers.names() {
		t.worker(name).bump()
		t.release()
	}
}

// reset empties the table under the locks of its shards.
func (t *Table) reset() {
	for _, name := range t.workers.names() {
		delete(t.workers.write(name).values, name)
		t.release()
	}
	for _, name := range t.jobs.names() {
		delete(t.jobs.write(name).values, name)
		t.release()
	}
	t.clear()
}

func (t *Table) restoreWorker(r *apiv1.WorkerRecord) {
	m := r.GetWorker()
	w := &worker{
		name:           m.GetName(),
		boot:           m.GetBoot(),
		location:       m.GetLocation(),
		capacity:       resources.FromMessage(m.GetCapacity()),
		alive:          r.GetAlive(),
		goneAt:         r.GetGoneUnixMs(),
		formerBoots:    r.GetFormerBoots(),
		live:           make(map[string]*attempt),
		lost:           make(map[string]*attempt),
		ordersRevision: r.GetOrdersRevision(),
		health: health{
			quarantined:  r.GetQuarantined(),
			probeAt:      r.GetProbeUnixMs(),
			probesFailed: r.GetProbesFailed(),
			reason:       r.GetQuarantineReason(),
			probe:        r.GetProbe(),
		},
	}
	for _, f := range r.GetFailures() {
		w.failures = append(w.failures, startFailure{job: f.GetJob(), index: f.GetIndex(), at: f.GetUnixMs(), charged: f.GetCharged()})
	}
	t.workers.write(w.name).values[w.name] = w
	t.capacities[w.capacity]++
	if w.alive {
		t.alive++
	}
	if w.quarantined {
		t.quarantined[w.name] = true
	}
}

func (t *Table) restoreJob(r *apiv1.JobRecord) {
	j := &job{
		spec:       r.GetJob(),
		serial:     r.GetSerial(),
		generation: r.GetGeneration(),
		removed:    r.GetRemoved(),
		removedAt:  r.GetRemovedUnixMs(),
		failedOn:   r.GetFailedOn(),
		placed:     int(r.GetPlaced()),
	}
	name := j.spec.GetName()
	t.jobs.write(name).values[name] = j
	for i, one := range r.GetTasks() {
		t.restoreTask(j, int32(i), one)
	}
}

func (t *Table) restoreTask(j *job, index int32, r *apiv1.TaskRecord) {
	k := &task{
		index:     index,
		state:     r.GetState(),
		detail:    r.GetDetail(),
		failures:  r.GetFailures(),
		notBefore: r.GetNotBeforeUnixMs(),
		attempts:  r.GetAttempts(),
		started:   r.GetStarted(),
	}
	j.tasks = append(j.tasks, k)
	if r.GetLive() != nil {
		k.live = attemptOf(r.GetLive())
		j.live++
		t.restoreLive(k.live)
	}
	if r.GetLost() != nil {
		k.lost = attemptOf(r.GetLost())
		if w := t.worker(k.lost.worker); w != nil && w.boot == k.lost.boot {
			w.lost[k.lost.id] = k.lost
		}
	}
}

func (t *Table) restoreLive(a *attempt) {
	t.live[a.id] = a
	t.team(a.team).take(a)
	w := t.worker(a.worker)
	w.live[a.id] = a
	w.used = w.used.Plus(a.amount)
}
