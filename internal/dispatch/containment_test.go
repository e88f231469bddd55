package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/state/jobs"
)

func TestRiskOfUnit(t *testing.T) {
	now := time.Now()
	contained := &containment{until: now.Add(time.Second)}
	for _, test := range []struct {
		name      string
		crashes   int
		pointedAt bool
		contained *containment
		want      risk
	}{
		{"no crash", 0, false, nil, riskNone},
		{"one crash", 1, false, nil, riskSuspect},
		{"two crashes that point elsewhere", 2, false, nil, riskSuspect},
		{"two crashes that point at it", 2, true, nil, riskIsolated},
		{"three crashes", 3, false, nil, riskIsolated},
		{"no crash, queue contained", 0, false, contained, riskContained},
		{"one crash, queue contained", 1, false, contained, riskIsolated},
		{"containment is over", 1, false, &containment{until: now}, riskSuspect},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := &pool{containments: map[string]*containment{"q": test.contained}, workerList: make([]*worker, minWorkersForTrials)}
			u := &unit{job: &job{queue: testQueue()}, mostCrashes: test.crashes, pointedAt: test.pointedAt}
			is.Equal(p.riskOf(u, now), test.want)
		})
	}
}

// What may run beside what, on trial workers and others.
func TestRunsThatAUnitMayStartBeside(t *testing.T) {
	now := time.Now()
	fullWorker := func(r risk, age time.Duration, longRunning bool) *worker {
		w := newWorker(&apiv1.PoolWorker{Id: "w", CpuMillis: 4000})
		w.trial = r.onTrial()
		other := &unit{job: &job{id: "other", queue: testQueue()}, spec: &apiv1.JobStep{LongRunning: longRunning}}
		w.addRun(&run{task: &task{unit: other}, name: "other.0.0.0", number: 1, worker: w, risk: r, sent: true, confirmedAt: now.Add(-age)})
		return w
	}
	const young, old = time.Millisecond, time.Minute
	for _, test := range []struct {
		name       string
		unit       risk
		worker     *worker
		groupLimit int
		want       bool
	}{
		{"harmless beside harmless", riskNone, fullWorker(riskNone, young, false), 1, true},
		{"suspect beside suspect", riskSuspect, fullWorker(riskSuspect, young, false), 1, true},
		{"harmless beside contained", riskNone, fullWorker(riskContained, old, false), 8, false},
		{"contained beside harmless", riskContained, fullWorker(riskNone, old, false), 8, false},
		{"contained beside contained, alone in its group", riskContained, fullWorker(riskContained, young, false), 1, false},
		{"contained beside contained, in a group", riskContained, fullWorker(riskContained, young, false), 2, true},
		{"contained beside one that is proven harmless", riskContained, fullWorker(riskContained, old, false), 1, true},
		{"contained beside isolated", riskContained, fullWorker(riskIsolated, young, false), 8, false},
		{"isolated beside contained", riskIsolated, fullWorker(riskContained, young, false), 8, false},
		{"isolated beside one that is proven harmless", riskIsolated, fullWorker(riskContained, old, false), 1, true},
		{"isolated beside a long-running task", riskIsolated, fullWorker(riskNone, young, true), 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := &pool{containments: map[string]*containment{"q": {
				until: now.Add(time.Second), groupLimit: test.groupLimit, crashAge: 100 * time.Millisecond,
			}}}
			u := &unit{job: &job{id: "job", queue: testQueue()}, spec: &apiv1.JobStep{}, risk: test.unit}
			is.Equal(p.admitsBeside(test.worker, u, now), test.want)
		})
	}
}

// A service of a contained queue kept its worker a trial worker for as long as it ran.
func TestLongRunningTaskDoesNotKeepATrialWorkerForEver(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	w := newWorker(&apiv1.PoolWorker{Id: "w", CpuMillis: 4000})
	service := &unit{job: &job{id: "service", queue: testQueue()}, spec: &apiv1.JobStep{LongRunning: true}}
	w.addRun(&run{task: &task{unit: service}, name: "service.0.0.0", number: 1, worker: w, risk: riskContained, confirmedAt: now})
	is.True(w.hasTrialRun(now))
	is.True(!w.hasTrialRun(now.Add(longRunningProbation + time.Second)))
}

func TestGroupsGrowWithSuccessesAndShrinkWithCrashes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := &containment{}
	c.recordCrash(now)
	is.Equal(c.groupLimit, 1)
	for range successesToGrow {
		c.recordSuccess()
	}
	is.Equal(c.groupLimit, 2)
	for range 1000 {
		c.recordSuccess()
	}
	is.Equal(c.groupLimit, maxGroupLimit)
	c.recordCrash(now)
	is.Equal(c.groupLimit, maxGroupLimit/2)
	is.True(c.active(now.Add(containmentPeriod - time.Millisecond)))
	is.True(!c.active(now.Add(containmentPeriod)))
}

func TestJobsThatWouldWaitTooLongForATrialAreRefused(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := &containment{trialLimit: 3}
	c.recordCrash(now)
	c.counted, c.trialLimit = true, 3
	accepted := 0
	for ; !c.admit(now, time.Second).Refused; accepted++ {
	}
	is.Equal(accepted, c.trialLimit) // the rate of trials is not known yet
	refusal := c.admit(now, time.Second)
	is.True(refusal.RetryAfter >= MinAdmissionRetry && refusal.RetryAfter <= maxAdmissionRetry)
	for range 10 {
		c.recordTested(false, now)
	}
	is.True(!c.admit(now.Add(testRateWindow), 2*time.Second).Refused) // five a second are tested
	c.culprits = maxCulpritFactor*c.trialLimit + 1
	is.True(c.admit(now.Add(testRateWindow), time.Hour).Refused)
}

// Jobs were accepted that then waited for further trials until long after the last call: 46 on 12 trial workers.
func TestJobsThatWouldWaitForFurtherTrialsAreRefused(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := &containment{}
	c.recordCrash(now)
	c.counted, c.trialLimit = true, 12
	for i := range 20 {
		c.recordTested(i%2 == 0, now)
	}
	now = now.Add(testRateWindow)
	accepted := 0
	for ; !c.admit(now, time.Hour).Refused; accepted++ {
	}
	is.Equal(accepted, 2*maxCulpritFactor*c.trialLimit+1) // half of them will be likely culprits
	c.waiting, c.culprits = c.trialLimit, maxCulpritFactor*c.trialLimit-c.trialLimit/2
	is.True(!c.admit(now, time.Hour).Refused)
	is.True(c.admit(now, time.Hour).Refused)
}

// The bound follows the trial workers that there may be while many workers are down, not those of a moment without.
func TestAdmissionToAContainedQueueReckonsWithCrashedWorkers(t *testing.T) {
	is := is.New(t)
	const workers = 16
	p, now := fullPool(workers), time.Now()
	p.containQueue("q", now)
	p.runPass()
	is.Equal(p.containments["q"].trialLimit, workers/4)
}

func TestEachFourthTrialIsOfTheOldestJob(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var units []*unit
	for i := range 8 { // by rank the youngest job comes first
		units = append(units, &unit{step: i, job: &job{accepted: now.Add(-time.Duration(i) * time.Second)}})
	}
	var order []int
	for _, u := range withOldest(units) {
		order = append(order, u.step)
	}
	is.Equal(order, []int{0, 1, 2, 7, 3, 4, 5, 6})
}

// Each deadly job of a queue took its worker and the harmless tasks beside it down, until no
// worker was left for any queue.
func TestDeadlyQueueLeavesWorkersToTheOthers(t *testing.T) {
	is := is.New(t)
	const workers, jobCount = 12, 12
	rig := newCrashRig(t, workers, 2000)
	d, _ := rig.startLeader()
	suspected := testQueue()
	suspected.Name = "suspected"
	for i := range jobCount {
		rig.submitTo(suspected, fmt.Sprintf("deadly%d", i), stepOf(1, 500))
		rig.submitTo(suspected, fmt.Sprintf("beside%d", i), stepOf(1, 500))
		rig.submit(fmt.Sprintf("other%d", i), stepOf(1, 500))
	}
	p := d.pool(testService)
	mostTrialWorkers := 0
	finished := func(prefix string, want apiv1.JobState) bool {
		for i := range jobCount {
			state := rig.state(fmt.Sprintf("%s%d", prefix, i))
			is.True(state < apiv1.JobState_JOB_STATE_COMPLETED || state == want)
			if state != want {
				return false
			}
		}
		return true
	}
	rig.eventually("all jobs are completed or given up", func() bool {
		rig.finishHarmless()
		p.mu.Lock()
		trialWorkers := 0
		for _, w := range p.workerList {
			if w.trial {
				trialWorkers++
			}
		}
		mostTrialWorkers = max(mostTrialWorkers, trialWorkers)
		p.mu.Unlock()
		return finished("deadly", apiv1.JobState_JOB_STATE_FAILED) && finished("beside", apiv1.JobState_JOB_STATE_COMPLETED) &&
			finished("other", apiv1.JobState_JOB_STATE_COMPLETED)
	})
	const mostOnTrial = workers * 3 / 4
	is.True(mostTrialWorkers > 0)
	is.True(mostTrialWorkers <= mostOnTrial)
	for i := range jobCount {
		is.True(rig.starts(fmt.Sprintf("deadly%d.", i)) <= freeStarts+moreStarts)
	}
}

// A gang of a contained queue needs free workers at the same moment; others that kept starting
// there, one by one, never left it any.
func TestContainedGangGathersTrialWorkers(t *testing.T) {
	is := is.New(t)
	const workers = 8
	rig := newCrashRig(t, workers, 2000)
	d, _ := rig.startLeader()
	p := d.pool(testService)
	p.mu.Lock()
	p.containQueue("q", time.Now())
	p.containments["q"].crashAge = time.Millisecond
	p.mu.Unlock()
	singles := 0
	submitSingle := func() {
		singles++
		rig.submit(fmt.Sprintf("single%d", singles), stepOf(1, 500))
	}
	for range 4 * workers {
		submitSingle()
	}
	rig.submit("gang", newGangStep(4, 1000))
	rig.eventually("the gang runs", func() bool {
		time.Sleep(10 * time.Millisecond)
		rig.workers[singles%workers].finishOne()
		submitSingle()
		return rig.starts("gang") == 4
	})
	is.Equal(rig.crashesOf(d, "gang"), 0)
}

// A queue's containment must not end with the leadership.
func TestNextLeaderKnowsContainedQueues(t *testing.T) {
	is := is.New(t)
	rig := newCrashRig(t, 4, 1000)
	_, stop := rig.startLeader()
	rig.submit("deadly", stepOf(1, 1000))
	rig.eventually("the job is given up", func() bool { return rig.state("deadly") == apiv1.JobState_JOB_STATE_FAILED })
	stop()
	d, _ := rig.startLeader()
	p := d.pool(testService)
	p.mu.Lock()
	defer p.mu.Unlock()
	is.True(p.containments["q"].active(time.Now()))
}

// A new leader accepted jobs of a contained queue as if none of its predecessor's waited for a trial.
func TestContainedQueueAdmitsNothingBeforeItsWaitingUnitsAreCounted(t *testing.T) {
	is := is.New(t)
	p, now := fullPool(minWorkersForTrials), time.Now()
	const waiting = 40
	for i := range waiting {
		p.insertJob(newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{
			Id: fmt.Sprintf("job%d", i), Queue: testQueue(), Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{stepOf(1, 1000)}},
		}}, now, now.UnixMilli()))
	}
	p.containQueue("q", now) // by the predecessor
	c := p.containments["q"]
	refusal := c.admit(now, time.Second)
	is.True(refusal.Refused)
	is.Equal(refusal.RetryAfter, MinAdmissionRetry)
	p.runPass()
	is.Equal(c.waiting, waiting)
	is.True(c.admit(now, time.Second).Refused)
	is.True(!c.admit(now, time.Minute).Refused)
}

// Neither did it count those that it may start only once the workers are reconciled: 37 jobs were accepted within 0.1 s.
func TestContainedQueueCountsInheritedUnits(t *testing.T) {
	is := is.New(t)
	p, now := fullPool(minWorkersForTrials), time.Now()
	p.addInheritedWorker(newFakeWorker("inherited", 16000).record, now.Add(time.Hour))
	const waiting, culprits = 40, 20
	for i := range waiting + culprits {
		j := newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{
			Id: fmt.Sprintf("job%d", i), Queue: testQueue(), Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{stepOf(1, 1000)}},
		}}, now, now.UnixMilli())
		if i >= waiting {
			j.units[0].tasks[0].crashes.Record(1, true, true)
			j.units[0].mostCrashes = 1
		}
		p.addJob(j, true)
	}
	p.addJob(newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{Id: "later", Queue: testQueue(), Spec: &apiv1.JobSpec{
		Steps: []*apiv1.JobStep{stepOf(1, 1000)}, FirstUnixMs: now.Add(time.Hour).UnixMilli(), IntervalMs: 1000, RepeatCount: 5,
	}}}, now, now.UnixMilli()), true)
	p.containQueue("q", now) // by the predecessor
	c := p.containments["q"]
	p.runPass()
	is.Equal(c.waiting, waiting)
	is.Equal(c.culprits, culprits)
	is.True(c.admit(now, time.Second).Refused)
	p.markReconciled("inherited")
	p.runPass()
	is.Equal(c.waiting, waiting)
	is.Equal(c.culprits, culprits)
}

func TestCrashesSurviveASnapshot(t *testing.T) {
	is := is.New(t)
	table := jobs.New()
	table.Apply(1, &apiv1.JobsCommand{Accept: []*apiv1.CallerJob{{
		Id: "a", Queue: testQueue(), Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{stepOf(3, 1000)}},
	}}})
	crash := &apiv1.RunEnd{Job: "a", Index: 2, Run: 7, Outcome: apiv1.RunOutcome_RUN_OUTCOME_WORKER_CRASHED, Attributed: true}
	table.Apply(2, &apiv1.JobsCommand{Ends: []*apiv1.RunEnd{crash, crash}})
	encoded, err := table.Snapshot()
	is.NoErr(err)
	restored := jobs.New()
	is.NoErr(restored.Restore(encoded))
	j := newJob(restored.Unfinished()[0], time.Now(), 2)
	is.Equal(j.units[0].tasks[2].crashes, jobs.Crashes{Runs: []int64{7}, AttributedRuns: []int64{7}})
	is.Equal(j.units[0].mostCrashes, 1)
	is.True(j.units[0].likelyCulprit())
	is.Equal(restored.CrashingQueues(), map[string]int64{"q": 2})
	is.True(strings.HasPrefix(j.units[0].name(), "a."))
}
