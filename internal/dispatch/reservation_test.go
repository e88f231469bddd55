package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// newGangStep returns a gang step of tasks that each need cpu thousandths of a core.
func newGangStep(count int32, cpu int64) *apiv1.JobStep {
	step := stepOf(count, cpu)
	step.Gang = true
	return step
}

// finishPeriodically ends all runs on the workers at every interval until the test
// ends.
func finishPeriodically(t *testing.T, fakes []*fakeWorker, interval time.Duration) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				for _, one := range fakes {
					one.finishAll(done)
				}
			}
		}
	}()
}

// Many more gangs wait than fit into the pool. Each may use about a third of the
// workers, and its tickets expire long before it can start. None may starve.
func TestWaitingGangsAllStart(t *testing.T) {
	const workers, gangs = 40, 60
	c, fakes := newRestrictedCluster(t, workers, workers)
	c.allowedPercent, c.adviceDelay = 35, 20*time.Millisecond
	queue := restrictedQueue()
	queue.Policy.DecisionMs, queue.Policy.ValidityMs = 20, 400
	c.startLeader()
	finishPeriodically(t, fakes, 40*time.Millisecond)
	for i := range gangs {
		c.submitTo(queue, fmt.Sprintf("gang%02d", i), newGangStep(8, 1000))
	}
	c.eventually("all gangs are done", func() bool {
		for i := range gangs {
			if c.state(fmt.Sprintf("gang%02d", i)) != apiv1.JobState_JOB_STATE_COMPLETED {
				return false
			}
		}
		return true
	})
}

// Without a reservation, small tasks would take all capacity that becomes free,
// and a gang that needs most of the pool would never start.
func TestGangThatNeedsMostOfThePoolStartsBesideSmallTasks(t *testing.T) {
	var fakes []*fakeWorker
	for i := range 4 {
		fakes = append(fakes, newFakeWorker(fmt.Sprintf("w%d", i), 4000))
	}
	c := newTestCluster(t, fakes...)
	c.startLeader()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	patientQueue := testQueue()
	patientQueue.LatencyTargetMs = time.Hour.Milliseconds() // no job misses its objective
	small := 0
	submit := func() {
		<-ticker.C
		c.submitTo(patientQueue, fmt.Sprintf("small%04d", small), stepOf(6, 1000))
		small++
		fakes[small%len(fakes)].finishOne()
	}
	for range 20 {
		submit()
	}
	c.submitTo(patientQueue, "gang", newGangStep(3, 4000))
	c.eventually("the gang runs", func() bool {
		submit()
		return c.state("gang") == apiv1.JobState_JOB_STATE_RUNNING
	})
}

func TestReservationAllowsBackfill(t *testing.T) {
	now := time.Now()
	owner := &unit{rank: rank{band: bandLate}}
	res := &reservation{expectedStart: now.Add(time.Second)}
	for _, c := range []struct {
		name       string
		band       band
		estimateMs int64
		admitted   bool
	}{
		{"a better band", bandOnTime, 5000, true},
		{"the same band, expected to end before the gang starts", bandLate, 900, true},
		{"the same band, too long", bandLate, 1100, false},
		{"a worse band, too long", bandExpired, 1100, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := &unit{rank: rank{band: c.band}, spec: &apiv1.JobStep{EstimateMs: c.estimateMs}}
			is.Equal(res.allowsBackfill(u, owner, now), c.admitted)
		})
	}
	is.New(t).True(res.allowsBackfill(owner, owner, now))
}

// A quarantined worker is probed with single tasks, so a reservation may count it
// with one task only.
func TestReservationCountsQuarantinedWorkerForOneTask(t *testing.T) {
	is := is.New(t)
	p := idlePool(3)
	u := waitingGang(p, 12)
	p.workerList[0].health.failures = failuresToQuarantine
	state := &passState{now: time.Now()}
	is.Equal(p.reserve(u, 12, state), reservationTooFewWorkers) // 1 + 4 + 4 tasks fit
	u.nextReservation = time.Time{}
	p.workerList[0].health = health{}
	is.Equal(p.reserve(u, 12, state), reservationHeld)
	is.Equal(len(u.reservation.workers), 3)
}

// A gang takes over workers that are reserved for a gang of a worse band.
func TestBetterBandTakesOverReservedWorkers(t *testing.T) {
	is := is.New(t)
	p := idlePool(3)
	state := &passState{now: time.Now()}
	late := waitingGang(p, 12)
	late.rank.band = bandLate
	is.Equal(p.reserve(late, 12, state), reservationHeld)
	onTime := waitingGang(p, 8)
	onTime.rank.band = bandOnTime
	is.Equal(p.reserve(onTime, 8, state), reservationHeld)
	is.True(late.reservation == nil)
	reserved := 0
	for _, w := range p.workerList {
		if w.reservedFor != nil {
			is.Equal(w.reservedFor, onTime)
			reserved++
		}
	}
	is.Equal(reserved, 2)
}

// A reserved worker whose run lasts past the expected start of the gang is
// replaced.
func TestReservedWorkerThatOverrunsIsReplaced(t *testing.T) {
	is := is.New(t)
	p := idlePool(4)
	now := time.Now()
	u := waitingGang(p, 8)
	is.Equal(p.reserve(u, 8, &passState{now: now}), reservationHeld)
	slow := u.reservation.workers[0]
	busy := waitingGang(p, 1)
	r := &run{task: busy.tasks[0], name: "busy.0.0.0", number: 1, worker: slow, size: busy.size, startSent: now}
	slow.runs[r.key()] = r
	slow.free.subtract(r.size)
	overdue := now.Add(time.Second)
	u.nextReservation = time.Time{}
	is.Equal(p.reserve(u, 8, &passState{now: overdue}), reservationHeld)
	for _, w := range u.reservation.workers {
		is.True(w != slow)
	}
}

// idlePool returns a pool of workers without runs, each of which holds four tasks
// of waitingGang.
func idlePool(workers int) *pool {
	p := fullPool(workers)
	for _, w := range p.workerList {
		clear(w.runs)
		w.free = w.capacity
	}
	return p
}

// waitingGang adds a job with one gang step to the pool and returns its unit.
func waitingGang(p *pool, count int32) *unit {
	id := fmt.Sprintf("%016x", len(p.jobs))
	step := newGangStep(count, 4000)
	step.EstimateMs = 10_000
	j := newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{
		Id: id, Queue: testQueue(), Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{step}},
	}}, time.Now(), time.Now().UnixMilli())
	p.insertJob(j)
	return j.units[0]
}

// Load pattern: urgent tasks keep arriving while a gang waits for its reserved workers. As
// long as there is room elsewhere they leave these alone, also if they would fit best
// there; otherwise the gang's capacity would never be free all at once.
func TestUrgentTasksPreferWorkersThatAreNotReserved(t *testing.T) {
	is := is.New(t)
	p := idlePool(4)
	gang := waitingGang(p, 4)
	gang.rank.band = bandOnTime
	now := time.Now()
	reserved, other := p.workerList[0], p.workerList[1]
	p.holdReservation(gang, []*worker{reserved}, now.Add(time.Second))
	reserved.free.subtract(gang.size) // the best fit
	urgent := waitingGang(p, 1)
	urgent.spec.Gang, urgent.rank.band = false, bandUrgent
	candidates := []candidate{{worker: reserved, fitting: 3}, {worker: other, fitting: 4}}
	placed := p.placeTasks(urgent, urgent.tasks, candidates)
	is.Equal(len(placed), 1)
	is.Equal(placed[0].worker, other)
	placed = p.placeTasks(urgent, urgent.tasks, candidates[:1])
	is.Equal(placed[0].worker, reserved) // rather than wait
	options := p.adviceOptions(urgent, 4, now)
	is.Equal(options[len(options)-1].worker, reserved)
}

// Gangs that had reserved half of the pool kept another from starting on idle workers: without
// a reservation it asked for no tickets.
func TestGangStartsOnIdleWorkersBesideReservations(t *testing.T) {
	is := is.New(t)
	const heldWorkers, idleWorkers = 5, 3
	var held, idle []*fakeWorker
	for i := range heldWorkers + idleWorkers {
		w := newFakeWorker(fmt.Sprintf("w%d", i), 1000)
		if i < heldWorkers {
			w.record.Labels = []string{"held", "rack-1"}
			held = append(held, w)
		} else {
			w.record.Labels = []string{"idle", "rack-2"}
			idle = append(idle, w)
		}
	}
	c := newTestCluster(t, append(held, idle...)...)
	d, _ := c.startLeader()
	c.submit("running", stepOf(heldWorkers+idleWorkers, 1000))
	c.eventually("all workers are busy", func() bool { return countRunning(append(held, idle...)) == heldWorkers+idleWorkers })
	queue := restrictedQueue()
	queue.Policy.ValidityMs = 200
	queue.SlackFactor, queue.LatencyTargetMs = 0, 1 // the gangs are late at once, and of one band
	first, second := newGangStep(heldWorkers, 1000), newGangStep(idleWorkers, 1000)
	first.Label, second.Label = "held", "idle"
	c.submitTo(queue, "first", first)
	p := d.pool(testService)
	c.eventually("the first gang knows which workers it may use", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.jobs["first"] != nil && len(p.jobs["first"].units[0].advice.allowedTickets) == heldWorkers
	})
	p.mu.Lock()
	var reserved []*worker
	for _, one := range held {
		reserved = append(reserved, p.workers[one.record.GetId()])
	}
	p.holdReservation(p.jobs["first"].units[0], reserved, time.Now().Add(time.Hour))
	p.mu.Unlock()
	c.submitTo(queue, "second", second)
	time.Sleep(600 * time.Millisecond) // its first tickets expire
	for _, w := range idle {
		w.finishAll(done)
	}
	c.eventually("the second gang runs", func() bool { return countRunning(idle) == idleWorkers })
	is.Equal(countRunning(held), heldWorkers)
}
