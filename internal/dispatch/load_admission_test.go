package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// loadedPool returns a full pool with 100 cores of a workspace catalog, in which tasks of the seconds
// wait for all cores.
func loadedPool(t testing.TB, admitsByLoad bool, waitSeconds int) *pool {
	t.Helper()
	const workers = 100
	p := fullPool(workers)
	p.loadAdmission = newLoadAdmission(admitsByLoad)
	p.d.AdmitsByLoad = admitsByLoad
	p.d.pools[testService] = p
	p.d.Table.Apply(0, &apiv1.JobsCommand{Catalog: &apiv1.Catalog{Version: 1, Workspaces: []*apiv1.Workspace{
		{Name: "a", Weight: 1}, {Name: "b", Weight: 1},
	}}})
	for i := range waitSeconds {
		p.addAcceptedJob(newJob(&apiv1.JobProgress{Job: callerJob(fmt.Sprintf("w%d", i), "", 16*workers)}, time.Now(), time.Now().UnixMilli()))
	}
	p.runPass()
	return p
}

// callerJob returns a job of one-second tasks of one core.
func callerJob(id, workspace string, tasks int32) *apiv1.CallerJob {
	return &apiv1.CallerJob{
		Id: id, Workspace: workspace, AcceptedUnixMs: time.Now().UnixMilli(),
		Queue: &apiv1.Queue{Name: "q", Service: testService, Priority: 1, MaxAttempts: 1, SlackFactor: 2, LatencyTargetMs: 1000},
		Spec:  &apiv1.JobSpec{Steps: []*apiv1.JobStep{{Count: tasks, CpuMillis: 1000, MemoryMb: 1, EstimateMs: 1000}}},
	}
}

// Earlier deployments, without the contracts, must be served as before: no job is refused or marked.
func TestWithoutTheContractsNoJobIsRefusedForLoad(t *testing.T) {
	is := is.New(t)
	p := loadedPool(t, false, 100)
	for i := range 100 {
		is.Equal(p.d.Admit(callerJob(fmt.Sprint(i), "a", 1)), Admission{})
	}
}

// Load pattern: so much waits in a full pool that a new job would start long after it has lost its
// value. Without the rule it is accepted.
func TestJobThatWouldBeDoneTooLateIsRefused(t *testing.T) {
	is := is.New(t)
	p := loadedPool(t, true, 100)
	refusal := p.d.Admit(callerJob("new", "", 1))
	is.True(refusal.Refused)
	is.Equal(refusal.Reason, RefusedLate)
	is.True(refusal.Binding)
	is.True(refusal.RetryAfter > 0)
	is.True(refusal.ExpectedWait > 50*time.Second)
	is.Equal(p.d.counters.jobsRefused[RefusedLate].Count(), int64(1))

	urgent := callerJob("urgent", "", 1)
	urgent.Queue.Priority = 0
	is.True(!p.d.Admit(urgent).Refused)                    // it is placed before the backlog
	is.True(!p.d.Admit(callerJob("of a", "a", 1)).Refused) // its workspace has nothing waiting
}

// A pool with room must refuse nothing.
func TestJobIsNotRefusedBesideFreeCapacity(t *testing.T) {
	is := is.New(t)
	p := loadedPool(t, true, 100)
	w := newWorker(newFakeWorker("free", 4000).record)
	w.synced = true
	p.workers["free"], p.workerList = w, append(p.workerList, w)
	p.loadAdmission.measuredAt = time.Time{}
	p.measureLoad(time.Now(), p.d.nowUnixMs())
	is.True(!p.d.Admit(callerJob("new", "", 1)).Refused)
}

// Right after a takeover the runs of the previous leader are not known, and nothing may be refused
// for lack of capacity.
func TestNothingIsRefusedBeforeThePredecessorsRunsAreKnown(t *testing.T) {
	is := is.New(t)
	p := loadedPool(t, true, 100)
	p.unreconciled["i-1"] = time.Now().Add(time.Minute)
	p.loadAdmission.measuredAt = time.Time{}
	p.measureLoad(time.Now(), p.d.nowUnixMs())
	is.True(!p.d.Admit(callerJob("new", "", 1)).Refused)
}

// A workspace beyond its rate is refused while others wait, and marked while there is room. Jobs
// of a service without a pool count, too.
func TestJobsBeyondTheRateOfTheirWorkspace(t *testing.T) {
	is := is.New(t)
	p := loadedPool(t, true, 2)
	const burst = 5
	for i := range burst {
		is.Equal(p.d.Admit(callerJob(fmt.Sprint(i), "a", 1)).OverRate, false)
	}
	refusal := p.d.Admit(callerJob("more", "a", 1))
	is.True(refusal.Refused)
	is.Equal(refusal.Reason, RefusedRate)
	is.True(refusal.RetryAfter >= MinAdmissionRetry)
	is.True(!p.d.Admit(callerJob("other", "b", 1)).OverRate)

	elsewhere := callerJob("elsewhere", "a", 1)
	elsewhere.Queue.Service = "another"
	marked := p.d.Admit(elsewhere)
	is.True(!marked.Refused)
	is.True(marked.OverRate)
	is.Equal(p.d.counters.jobsOverRate.Count(), int64(1))
}

// A job of a workspace that is not in the catalog has no rate.
func TestUnknownWorkspaceHasNoRate(t *testing.T) {
	is := is.New(t)
	p := loadedPool(t, true, 0)
	for i := range 20 {
		is.True(!p.d.Admit(callerJob(fmt.Sprint(i), "unknown", 1)).OverRate)
	}
}

// Load pattern: many small jobs and few large ones, all late. In the order of the latest start,
// one large job that came first delays them all.
func TestSmallLateJobsAreOrderedBeforeLargeOnes(t *testing.T) {
	is := is.New(t)
	order := func(admitsByLoad bool, age time.Duration) []string {
		p := loadedPool(t, admitsByLoad, 0)
		now := time.Now()
		for i, tasks := range []int32{500, 3, 1} {
			submitted := callerJob(fmt.Sprint(tasks), "", tasks)
			submitted.AcceptedUnixMs = now.Add(time.Duration(i)*time.Millisecond - age).UnixMilli()
			p.addAcceptedJob(newJob(&apiv1.JobProgress{Job: submitted}, now, now.UnixMilli()))
		}
		waiting := p.waitingUnits(p.newPassState(now), now.UnixMilli())
		slices.SortFunc(waiting, compareUnits) // as a pass does
		var ids []string
		for _, u := range waiting {
			ids = append(ids, u.job.id)
		}
		return ids
	}
	const objective, fresh = 3 * time.Second, 10 * time.Millisecond
	byAge, bySize := []string{"500", "3", "1"}, []string{"1", "3", "500"}
	is.Equal(order(true, objective), bySize)   // late
	is.Equal(order(true, 4*objective), bySize) // expired
	is.Equal(order(true, fresh), byAge)        // on time: as before
	is.Equal(order(false, objective), byAge)   // without the contracts: as before
	is.Equal(order(false, 4*objective), byAge)
}

// The real durations of runs must correct the work of the backlog.
func TestDurationsAreLearnedFromRunsThatAreDone(t *testing.T) {
	is := is.New(t)
	p := loadedPool(t, true, 0)
	u := newJob(&apiv1.JobProgress{Job: callerJob("j", "", 1)}, time.Now(), time.Now().UnixMilli()).units[0]
	now := time.Now()
	done := EndedRun{Outcome: apiv1.RunOutcome_RUN_OUTCOME_DONE}
	for range 100 {
		p.learnDuration(&run{task: u.tasks[0], decidedAt: now, startSent: now.Add(-3 * time.Second)}, done, now)
		p.learnDuration(&run{task: u.tasks[0], startSent: now}, done, now) // adopted: its start is unknown
		p.learnDuration(&run{task: u.tasks[0], decidedAt: now, startSent: now}, EndedRun{Outcome: apiv1.RunOutcome_RUN_OUTCOME_STOPPED}, now)
	}
	is.True(p.loadAdmission.ratios.Mean("q") > 2.9 && p.loadAdmission.ratios.Mean("q") < 3.1)
}

// BenchmarkMeasureLoad measures what the load costs a pass with 1,100 workers and 5,000 waiting
// units of 2,000 workspaces.
func BenchmarkMeasureLoad(b *testing.B) {
	const workers, units, workspaces = 1100, 5000, 2000
	p := fullPool(workers)
	p.loadAdmission = newLoadAdmission(true)
	now := time.Now()
	for i := range units {
		submitted := callerJob(fmt.Sprint(i), fmt.Sprint(i%workspaces), 5)
		p.addAcceptedJob(newJob(&apiv1.JobProgress{Job: submitted}, now, now.UnixMilli()))
	}
	b.ResetTimer()
	for range b.N {
		p.loadAdmission.measuredAt = time.Time{}
		p.measureLoad(now, now.UnixMilli())
	}
}

// BenchmarkAdmitUnderBacklog measures the decision on one job in a full pool.
func BenchmarkAdmitUnderBacklog(b *testing.B) {
	p := loadedPool(b, true, 100)
	submitted := callerJob("new", "", 1)
	b.ResetTimer()
	for range b.N {
		p.d.Admit(submitted)
	}
}
