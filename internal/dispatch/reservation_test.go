package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

func gangOf(count int32, cpu int64) *apiv1.JobStep {
	step := tasks(count, cpu)
	step.Gang = true
	return step
}

// finishing ends what runs on the workers, again and again, until the test ends.
func finishing(t *testing.T, all []*fakeWorker, pause time.Duration) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		ticker := time.NewTicker(pause)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				for _, one := range all {
					one.finish(done)
				}
			}
		}
	}()
}

// Many more gangs wait than the pool holds. Each may use a third of the workers,
// and its tickets expire long before its turn.
func TestWaitingGangsAllStart(t *testing.T) {
	const workers, gangs = 40, 60
	w, all := restrictedWorld(t, workers, workers)
	w.allowedPercent, w.adviceTakes = 35, 20*time.Millisecond
	queue := restricted()
	queue.Policy.DecisionMs, queue.Policy.ValidityMs = 20, 400
	w.lead()
	finishing(t, all, 40*time.Millisecond)
	for i := range gangs {
		w.submitAt(queue, fmt.Sprintf("gang%02d", i), gangOf(8, 1000))
	}
	w.eventually("all gangs are done", func() bool {
		for i := range gangs {
			if w.state(fmt.Sprintf("gang%02d", i)) != apiv1.JobState_JOB_STATE_COMPLETED {
				return false
			}
		}
		return true
	})
}

// Small tasks take every piece of room that comes free, and the gang needs most
// of the pool.
func TestGangThatNeedsMostOfThePoolStartsBesideSmallTasks(t *testing.T) {
	var all []*fakeWorker
	for i := range 4 {
		all = append(all, newFakeWorker(fmt.Sprintf("w%d", i), 4000))
	}
	w := newWorld(t, all...)
	w.lead()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	patient := testQueue()
	patient.LatencyTargetMs = time.Hour.Milliseconds() // nothing gets late
	small := 0
	submit := func() {
		<-ticker.C
		w.submitAt(patient, fmt.Sprintf("small%04d", small), tasks(6, 1000))
		small++
		all[small%len(all)].finishOne()
	}
	for range 20 {
		submit()
	}
	w.submitAt(patient, "gang", gangOf(3, 4000))
	w.eventually("the gang runs", func() bool {
		submit()
		return w.state("gang") == apiv1.JobState_JOB_STATE_RUNNING
	})
}

func TestBookingAdmits(t *testing.T) {
	now := time.Now()
	owner := &unit{rank: rank{band: bandLate}}
	b := &reservation{expectedStart: now.Add(time.Second)}
	for _, c := range []struct {
		name       string
		band       band
		estimateMs int64
		admitted   bool
	}{
		{"a better band", bandOnTime, 5000, true},
		{"the same band, over before the gang begins", bandLate, 900, true},
		{"the same band, too long", bandLate, 1100, false},
		{"a worse band, too long", bandExpired, 1100, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := &unit{rank: rank{band: c.band}, spec: &apiv1.JobStep{EstimateMs: c.estimateMs}}
			is.Equal(b.allowsBackfill(u, owner, now), c.admitted)
		})
	}
	is.New(t).True(b.allowsBackfill(owner, owner, now))
}

// A worker that fails everything is tried with single tasks, so it can't be
// counted with all its room.
func TestGangBooksNoWorkerThatIsSetAside(t *testing.T) {
	is := is.New(t)
	p := idlePool(3)
	u := waitingGang(p, 12)
	p.workerList[0].health.failures = failuresToQuarantine
	state := &passState{now: time.Now()}
	is.Equal(p.reserve(u, 12, state), reservationTooFewWorkers) // 1 + 4 + 4 tasks have room
	u.nextReservation = time.Time{}
	p.workerList[0].health = health{}
	is.Equal(p.reserve(u, 12, state), reservationHeld)
	is.Equal(len(u.reservation.workers), 3)
}

// A gang takes over the workers that one of a worse band has booked.
func TestBetterBandTakesBookingsOver(t *testing.T) {
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
	booked := 0
	for _, w := range p.workerList {
		if w.reservedFor != nil {
			is.Equal(w.reservedFor, onTime)
			booked++
		}
	}
	is.Equal(booked, 2)
}

// A booked worker that keeps the gang waiting past the time foreseen is exchanged.
func TestBookedWorkerThatOverrunsIsExchanged(t *testing.T) {
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
	late := now.Add(time.Second)
	u.nextReservation = time.Time{}
	is.Equal(p.reserve(u, 8, &passState{now: late}), reservationHeld)
	for _, w := range u.reservation.workers {
		is.True(w != slow)
	}
}

// idlePool returns a pool of workers for four tasks of waitingGang each.
func idlePool(workers int) *pool {
	p := fullPool(workers)
	for _, w := range p.workerList {
		clear(w.runs)
		w.free = w.capacity
	}
	return p
}

func waitingGang(p *pool, count int32) *unit {
	id := fmt.Sprintf("%016x", len(p.jobs))
	step := gangOf(count, 4000)
	step.EstimateMs = 10_000
	j := newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{
		Id: id, Queue: testQueue(), Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{step}},
	}}, time.Now(), time.Now().UnixMilli())
	p.jobs[id] = j
	return j.units[0]
}
