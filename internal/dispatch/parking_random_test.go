package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/bubble"
)

// parkingScenario drives the passes of one pool, without workers or a policy service that answer by themselves.
type parkingScenario struct {
	*pool
	choices            []int
	jobs, drawnWorkers int
}

// choose returns the next choice, at most the given number; 0 once all are used up.
func (s *parkingScenario) choose(most int) int {
	if len(s.choices) == 0 {
		return 0
	}
	choice := s.choices[0] % (most + 1)
	s.choices = s.choices[1:]
	return choice
}

func (s *parkingScenario) addWorker() {
	if len(s.workerList) >= 8 {
		return
	}
	s.drawnWorkers++
	w := s.pool.addWorker(newFakeWorker(fmt.Sprintf("w%d", s.drawnWorkers), 1000*int64(1+s.choose(7))).record)
	w.synced = true
	w.observeClock(1, time.Now())
}

func (s *parkingScenario) worker() *worker {
	return s.workerList[s.choose(len(s.workerList)-1)]
}

func (s *parkingScenario) addJob() {
	s.jobs++
	queues := []*apiv1.Queue{testQueue(), restrictedQueue(), urgentQueue(), bulkQueue()}
	step := stepOf(int32(1+s.choose(4)), 500*int64(1+s.choose(5)))
	step.Gang = s.choose(3) == 0
	submitted := &apiv1.CallerJob{
		Id: fmt.Sprintf("%016x", s.jobs), Queue: queues[s.choose(len(queues)-1)], Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{step}},
		AcceptedUnixMs: time.Now().UnixMilli(), Workspace: []string{"", "a", "b"}[s.choose(2)],
	}
	s.addAcceptedJob(newJob(&apiv1.JobProgress{Job: submitted}, time.Now(), time.Now().UnixMilli()))
}

// answer answers a call to the policy service about some of the workers, or fails it.
func (s *parkingScenario) answer() {
	for _, u := range s.units() {
		if u.advice.callsInFlight == 0 {
			continue
		}
		call := adviceCall{unit: u, sentAt: time.Now(), expectedAnswer: time.Now()}
		resp := &apiv1.AdviseResponse{Busy: s.choose(5) == 0}
		for _, w := range s.workerList {
			switch s.choose(2) {
			case 0:
				resp.Tickets = append(resp.Tickets, &apiv1.Ticket{Worker: w.id, Ticket: "ticket"})
				fallthrough
			case 1:
				call.workers = append(call.workers, w)
			}
		}
		s.handleAdvice(call, resp, nil)
		return
	}
}

// units returns the units of all jobs in the order of their ids.
func (s *parkingScenario) units() []*unit {
	var all []*unit
	for _, id := range slices.Sorted(maps.Keys(s.pool.jobs)) {
		all = append(all, s.pool.jobs[id].units...)
	}
	return all
}

// firstRun returns one of the worker's runs, or nil.
func (s *parkingScenario) firstRun(w *worker) *run {
	keys := slices.SortedFunc(maps.Keys(w.runs), func(a, b runKey) int {
		return cmp.Or(strings.Compare(a.name, b.name), cmp.Compare(a.number, b.number))
	})
	if len(keys) == 0 {
		return nil
	}
	return w.runs[keys[0]]
}

func (s *parkingScenario) endRun() {
	w := s.worker()
	r := s.firstRun(w)
	if r == nil {
		return
	}
	outcome := []apiv1.RunOutcome{done, apiv1.RunOutcome_RUN_OUTCOME_FAILED, apiv1.RunOutcome_RUN_OUTCOME_STOPPED}[s.choose(2)]
	w.removeRun(r)
	s.applyEnd(w, EndedRun{Sequence: 1, Task: r.name, Run: r.number, Outcome: outcome})
}

// refuseStart makes a worker refuse a start.
func (s *parkingScenario) refuseStart() {
	if r := s.firstRun(s.worker()); r != nil && r.phase == phaseStarting {
		r.task.notBefore = time.Now().Add(idlePassInterval)
		s.discardRun(r)
	}
}

func (s *parkingScenario) changeWorker() {
	w := s.worker()
	record := proto.CloneOf(w.record)
	switch s.choose(4) {
	case 0:
		record.Draining = !record.GetDraining()
	case 1:
		record.CpuMillis = 1000 * int64(1+s.choose(7))
	case 2:
		w.health.recordRefusal(time.Now())
		return
	case 3:
		w.synced = !w.synced
		return
	case 4:
		if len(s.workerList) > 1 {
			s.removeWorker(w, lossEnded, "a test")
		}
		return
	}
	w.record = record
	s.resizeWorker(w, capacity(record))
}

func (s *parkingScenario) publish() {
	s.d.Table.Apply(0, &apiv1.JobsCommand{Catalog: &apiv1.Catalog{Version: s.d.Table.Catalog().Version() + 1, Workspaces: []*apiv1.Workspace{
		cappedWorkspace("a", 1000*int64(1+s.choose(8))), weightedWorkspace("b", 1),
	}}})
}

// startable returns a parked unit of which tasks could start now, or nil.
func (s *parkingScenario) startable() *unit {
	now := time.Now()
	for _, u := range s.units() {
		pending := u.pending(now)
		if u.parking == nil || len(pending) == 0 {
			continue
		}
		permitted := len(pending)
		if u.job.workspace != "" {
			permitted = s.d.ledger.room(s.pool, s.capRequest(u, len(pending)), now)
		}
		if permitted == 0 {
			continue
		}
		var placed []placement
		if candidates := s.candidates(u, now); u.spec.GetGang() {
			placed = s.placeGang(u, pending, candidates)
		} else {
			placed = s.placeTasks(u, pending[:permitted], candidates)
		}
		if len(placed) > 0 {
			return u
		}
	}
	return nil
}

// pass runs a pass at a time of its own.
func (s *parkingScenario) pass(run func()) {
	time.Sleep(time.Microsecond)
	run()
}

// run executes the scenario until a pass has left out a unit that can start, which it returns.
func (s *parkingScenario) run() (fault string) {
	s.publish()
	for range 3 {
		s.addWorker()
	}
	steps := []func(){
		s.addJob, s.addJob, s.addJob, s.answer, s.answer, s.answer, s.endRun, s.endRun, s.refuseStart, s.changeWorker,
		s.addWorker, s.publish,
		func() { time.Sleep(time.Duration(s.choose(400)) * time.Millisecond) },
	}
	for len(s.choices) > 0 {
		step := s.choose(len(steps) - 1)
		steps[step]()
		s.d.leaderLease.renewLease(s.d.Clock.Read())
		if s.choose(3) == 0 {
			s.pass(s.runUrgentPass)
		}
		s.pass(s.runPass)
		if s.startable() != nil { // a reservation that the pass released may have let it
			s.pass(s.runPass)
		}
		if u := s.startable(); u != nil {
			return fmt.Sprintf("after step %d, %s is left out and could start: %+v", step, u.name(), *u.parking)
		}
		if total := s.countWaiting(nil); total != s.countParked() {
			return fmt.Sprintf("%d units are parked, %d are counted", s.countParked(), total)
		}
		if u := s.unlisted(); u != nil {
			return fmt.Sprintf("after step %d, no pass looks at %s", step, u.name())
		}
	}
	for range 30 { // more than maxParking
		time.Sleep(idlePassInterval)
		s.d.leaderLease.renewLease(s.d.Clock.Read())
		s.pass(s.runPass)
	}
	if u := s.askable(); u != nil {
		return fmt.Sprintf("%s is left out and could ask the policy service: %+v", u.name(), *u.parking)
	}
	return ""
}

// unlisted returns a unit that is not done and not in the wait list, or nil.
func (s *parkingScenario) unlisted() *unit {
	listed := make(map[*unit]int)
	for pk := range s.waitList.allParked() {
		listed[pk.unit]++
	}
	for _, u := range s.waitList.unparked() {
		listed[u]++
	}
	for _, u := range s.units() {
		if u.remaining > 0 && listed[u] != 1 {
			return u
		}
	}
	return nil
}

// askable returns a parked unit for which the policy service could be asked now, or nil.
func (s *parkingScenario) askable() *unit {
	now := time.Now()
	for _, u := range s.units() {
		if u.parking == nil || u.parking.held || u.spec.GetGang() || !u.needsAdvice(now) {
			continue
		}
		cost := adviceCost(u.job.queue.GetPolicy(), minWorkersPerCall)
		if len(s.workersToAskAbout(u, len(u.pending(now)), now)) > 0 && s.d.advisorPool.available(now, cost, u.callBand()) {
			return u
		}
	}
	return nil
}

// Passes leave out units that can't start. After any change, the next pass must not leave out one that can.
func TestPassLeavesOutNoUnitThatCanStart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choices := rapid.SliceOfN(rapid.IntRange(0, 1<<16), 300, 300).Draw(rt, "choices")
		fault := ""
		bubble.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			p := fullPool(0)
			p.d.ctx = ctx
			s := &parkingScenario{pool: p, choices: choices}
			fault = s.run()
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

func (s *parkingScenario) countParked() int {
	parked := 0
	for _, u := range s.units() {
		parked += count(u.parking != nil)
	}
	return parked
}

// A unit of which some tasks had been placed counted as waiting since ever.
func TestPartlyPlacedUnitWaitsSinceThen(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := fullPool(0)
		s := &parkingScenario{pool: p, choices: []int{0}}
		s.addWorker() // of one core
		u := addUrgentJob(p, "job", 1000)
		u.spec.Count = 2
		u.tasks = append(u.tasks, &task{unit: u, index: 1})
		u.remaining = 2
		p.runPass()
		if u.active != 1 || u.parking == nil || time.Since(u.waitingSince) > 0 {
			t.Fatalf("%d tasks are placed, parked %v, waiting for %v", u.active, u.parking != nil, time.Since(u.waitingSince))
		}
	})
}
