package tasks

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Snapshot encodes the whole table; equal tables give equal bytes. It must be
// called from the goroutine that calls Apply.
func (t *Table) Snapshot() ([]byte, error) {
	m := &apiv1.TaskTableSnapshot{
		NowUnixMs: t.now,
		JobSerial: t.jobSerial,
		Teams:     t.teamSpecs,
		Shapes:    t.shapes,
	}
	for _, name := range t.jobs.names() {
		m.Jobs = append(m.Jobs, t.jobs.all[shardIndex(name)].values[name].record())
	}
	for _, name := range t.workers.names() {
		m.Workers = append(m.Workers, t.workers.all[shardIndex(name)].values[name].record())
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
		Placed:        int32(j.placedCount),
	}
	for _, task := range j.tasks {
		r.Tasks = append(r.Tasks, task.record())
	}
	return r
}

func (t *task) record() *apiv1.TaskRecord {
	r := &apiv1.TaskRecord{
		State:           t.state,
		Detail:          t.detail,
		Failures:        t.failures,
		NotBeforeUnixMs: t.notBefore,
		Attempts:        t.attempts,
		Started:         t.maybeStarted,
	}
	if t.liveAttempt != nil {
		r.Live = t.liveAttempt.message()
	}
	if t.lostAttempt != nil {
		r.Lost = t.lostAttempt.message()
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
		QuarantineReason: w.quarantineReason,
		Probe:            w.probeAttempt,
		GoneUnixMs:       w.expiredAt,
	}
	for _, f := range w.failures {
		r.Failures = append(r.Failures, &apiv1.StartFailure{Job: f.job, Index: f.index, UnixMs: f.at, Charged: f.charged})
	}
	return r
}

// Restore replaces the contents of the table with a snapshot. On an error the
// table is unchanged.
func (t *Table) Restore(snapshot []byte) error {
	m := &apiv1.TaskTableSnapshot{}
	if err := proto.Unmarshal(snapshot, m); err != nil {
		return errors.Wrap(err, "decode the table of tasks")
	}
	if err := checkSnapshot(m); err != nil {
		return err
	}
	t.wakeLongPolls()
	t.reset()
	t.now = m.GetNowUnixMs()
	t.jobSerial = m.GetJobSerial()
	t.shapes = m.GetShapes()
	for _, r := range m.GetWorkers() {
		t.restoreWorker(r)
		t.releaseLocks()
	}
	t.teamSpecs = m.GetTeams()
	for _, spec := range m.GetTeams() {
		account := t.accountOf(spec.GetName())
		account.hasQuota = spec.GetQuota() != nil
		account.quota = resources.FromMessage(spec.GetQuota())
	}
	for _, r := range m.GetJobs() {
		t.restoreJob(r)
		t.releaseLocks()
	}
	t.updateNeverRunnable()
	t.releaseLocks()
	t.changes.markTeams(t.teamSpecs)
	t.changes.markReset()
	return nil
}

// checkSnapshot returns an error if a live attempt's worker or its boot is
// missing from the snapshot.
func checkSnapshot(m *apiv1.TaskTableSnapshot) error {
	boots := make(map[string]string, len(m.GetWorkers()))
	for _, r := range m.GetWorkers() {
		boots[r.GetWorker().GetName()] = r.GetWorker().GetBoot()
	}
	for _, r := range m.GetJobs() {
		for _, task := range r.GetTasks() {
			live := task.GetLive()
			if live != nil && boots[live.GetWorker()] != live.GetBoot() {
				return errors.Newf("attempt %q is on worker %q, whose boot %q is not in the snapshot",
					live.GetId(), live.GetWorker(), live.GetBoot())
			}
		}
	}
	return nil
}

// wakeLongPolls wakes all long polls for orders, because the snapshot's orders may
// differ.
func (t *Table) wakeLongPolls() {
	for _, name := range t.workers.names() {
		t.lockWorker(name).bumpOrdersRevision()
		t.releaseLocks()
	}
}

// reset empties the table, taking the shard locks so that readers are safe.
func (t *Table) reset() {
	for _, name := range t.workers.names() {
		delete(t.workers.lockShard(name).values, name)
		t.releaseLocks()
	}
	for _, name := range t.jobs.names() {
		delete(t.jobs.lockShard(name).values, name)
		t.releaseLocks()
	}
	t.clearWriterState()
}

func (t *Table) restoreWorker(r *apiv1.WorkerRecord) {
	m := r.GetWorker()
	w := &worker{
		name:           m.GetName(),
		boot:           m.GetBoot(),
		location:       m.GetLocation(),
		capacity:       resources.FromMessage(m.GetCapacity()),
		alive:          r.GetAlive(),
		expiredAt:      r.GetGoneUnixMs(),
		formerBoots:    r.GetFormerBoots(),
		liveAttempts:   make(map[string]*attempt),
		lostAttempts:   make(map[string]*attempt),
		ordersRevision: r.GetOrdersRevision(),
		health: health{
			quarantined:      r.GetQuarantined(),
			probeAt:          r.GetProbeUnixMs(),
			probesFailed:     r.GetProbesFailed(),
			quarantineReason: r.GetQuarantineReason(),
			probeAttempt:     r.GetProbe(),
		},
	}
	for _, f := range r.GetFailures() {
		w.failures = append(w.failures, startFailure{job: f.GetJob(), index: f.GetIndex(), at: f.GetUnixMs(), charged: f.GetCharged()})
	}
	t.workers.lockShard(w.name).values[w.name] = w
	t.capacities[w.capacity]++
	if w.alive {
		t.aliveWorkers++
	}
	if w.quarantined {
		t.quarantined[w.name] = true
	}
}

func (t *Table) restoreJob(r *apiv1.JobRecord) {
	j := &job{
		spec:        r.GetJob(),
		serial:      r.GetSerial(),
		generation:  r.GetGeneration(),
		removed:     r.GetRemoved(),
		removedAt:   r.GetRemovedUnixMs(),
		failedOn:    r.GetFailedOn(),
		placedCount: int(r.GetPlaced()),
	}
	name := j.spec.GetName()
	t.jobs.lockShard(name).values[name] = j
	for i, record := range r.GetTasks() {
		t.restoreTask(j, int32(i), record)
	}
}

func (t *Table) restoreTask(j *job, index int32, r *apiv1.TaskRecord) {
	task := &task{
		index:        index,
		state:        r.GetState(),
		detail:       r.GetDetail(),
		failures:     r.GetFailures(),
		notBefore:    r.GetNotBeforeUnixMs(),
		attempts:     r.GetAttempts(),
		maybeStarted: r.GetStarted(),
	}
	j.tasks = append(j.tasks, task)
	if r.GetLive() != nil {
		task.liveAttempt = attemptFromMessage(r.GetLive())
		j.liveCount++
		t.restoreLive(task.liveAttempt)
	}
	if r.GetLost() != nil {
		task.lostAttempt = attemptFromMessage(r.GetLost())
		if w := t.lockWorker(task.lostAttempt.worker); w != nil && w.boot == task.lostAttempt.boot {
			w.lostAttempts[task.lostAttempt.id] = task.lostAttempt
		}
	}
}

// restoreLive counts a live attempt in the usage of its team and its worker, which
// must be restored already.
func (t *Table) restoreLive(a *attempt) {
	t.liveAttempts[a.id] = a
	t.accountOf(a.team).addUsage(a)
	w := t.lockWorker(a.worker)
	w.liveAttempts[a.id] = a
	w.used = w.used.Plus(a.amount)
}
