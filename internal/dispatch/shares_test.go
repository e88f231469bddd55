package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// weightedWorkspace returns a workspace without a cap.
func weightedWorkspace(name string, weight float64) *apiv1.Workspace {
	return &apiv1.Workspace{Name: name, Weight: weight, KeyDigests: [][]byte{keyOf(name)}}
}

// A workspace that sends many jobs kept the workers from another one whose jobs came later.
func TestWorkspacesGetTheirSharesByWeight(t *testing.T) {
	is := is.New(t)
	c, fakes, watch := newCappedCluster(t, 4)
	c.publish(weightedWorkspace("a", 1), weightedWorkspace("b", 3))
	d, _ := c.startLeader()
	for i := range 10 {
		watch.submit("a", testQueue(), fmt.Sprintf("a%d", i), stepOf(8, 1000))
	}
	c.eventually("what one workspace does not use goes to the other", func() bool { return countRunning(fakes) == 16 })
	watch.submit("b", testQueue(), "b", stepOf(200, 1000))
	c.afterPasses(d)
	endOnEach := func() {
		for _, w := range fakes {
			w.finishOne()
		}
		c.eventually("the pool is full again", func() bool { return countRunning(fakes) == 16 })
	}
	for range 12 { // each worker has ended more tasks than it can run at a time
		endOnEach()
	}
	for range 5 {
		endOnEach()
		runsOfB := countRunsOf(fakes, "b")
		is.True(runsOfB >= 11 && runsOfB <= 13) // 12 by weight
	}
}

// One pass over an empty pool gave all workers to the workspace whose jobs came first.
func TestOnePassDividesAnEmptyPool(t *testing.T) {
	is := is.New(t)
	p := fullPool(0)
	p.d.Table.Apply(0, &apiv1.JobsCommand{Catalog: &apiv1.Catalog{
		Version: 1, Workspaces: []*apiv1.Workspace{weightedWorkspace("a", 1), weightedWorkspace("b", 1)},
	}})
	for i := range 4 {
		w := newWorker(newFakeWorker(fmt.Sprintf("w%d", i), 4000).record)
		w.pool, w.synced = p, true
		p.workers[w.id], p.workerList = w, append(p.workerList, w)
	}
	now := time.Now()
	for i, workspace := range []string{"a", "b"} {
		accepted := now.Add(time.Duration(i) * 100 * time.Millisecond)
		j := newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{
			Id: workspace, Workspace: workspace, Queue: testQueue(), Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{stepOf(30, 1000)}},
			AcceptedUnixMs: accepted.UnixMilli(),
		}}, accepted, accepted.UnixMilli())
		p.insertJob(j)
	}
	p.runPass()
	is.Equal(p.occupied["a"].cpu, int64(8000))
	is.Equal(p.occupied["b"].cpu, int64(8000))
}

// Jobs beyond the rate that their workspace is owed come after all others, however urgent they are.
func TestJobsOverTheRateComeLast(t *testing.T) {
	is := is.New(t)
	c, fakes, _ := newCappedCluster(t, 1)
	c.publish(weightedWorkspace("a", 1))
	d, _ := c.startLeader()
	submit := func(id string, queue *apiv1.Queue, overRate bool, step *apiv1.JobStep) {
		c.submitJob(&apiv1.CallerJob{Id: id, Workspace: "a", OverRate: overRate, Queue: queue, Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{step}}})
	}
	submit("bulk", bulkQueue(), false, bulkStep(4, 1000))
	c.eventually("the pool is full", func() bool { return countRunning(fakes) == 4 })
	submit("over", urgentQueue(), true, stepOf(4, 1000))
	submit("more", bulkQueue(), false, bulkStep(4, 1000))
	for range 3 {
		c.afterPasses(d)
	}
	is.Equal(d.counters.runsPreempted.Count(), int64(0))
	fakes[0].finishAll(done)
	c.eventually("the pool is full again", func() bool { return countRunning(fakes) == 4 })
	is.Equal(countRunsOf(fakes, "more"), 4)
	fakes[0].finishAll(done)
	c.eventually("the job over the rate runs last", func() bool { return countRunsOf(fakes, "over") == 4 })
}

// Each case is a rule of the order of two units.
func TestOrderOfRanks(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name         string
		first, later rank
	}{
		{"over the rate after the worst band", rank{band: bandExpired, aboveShare: true}, rank{band: bandUrgent, overRate: true}},
		{"a better band before a workspace below its share", rank{band: bandUrgent, aboveShare: true}, rank{band: bandOnTime}},
		{"a workspace below its share before a deadline", rank{band: bandOnTime, latestStart: now.Add(time.Hour)}, rank{band: bandOnTime, aboveShare: true, latestStart: now}},
		{"a workspace below its share before a priority", rank{band: bandLate, priority: 2}, rank{band: bandLate, aboveShare: true}},
		{"as today within the same share", rank{band: bandOnTime, latestStart: now}, rank{band: bandOnTime, latestStart: now.Add(time.Second)}},
		{"as today over the rate", rank{band: bandUrgent, overRate: true}, rank{band: bandOnTime, overRate: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(c.first.compare(c.later) < 0)
			is.True(c.later.compare(c.first) > 0)
		})
	}
}

// Each case is a rule of which runs are protected from a preemption. The workspace "below" uses 0.4 of
// a share of 0.4, in runs of 0.1; "above" uses 0.5 of 0.4.
func TestPreemptionGuard(t *testing.T) {
	shares := &poolShares{capacity: cpuOf(10_000), fair: map[string]float64{"below": 0.4, "above": 0.4}}
	occupied := map[string]resources{"below": {cpu: 4000}, "above": {cpu: 5000}}
	for _, c := range []struct {
		name             string
		rank             rank
		victim           string
		victimIsOverRate bool
		allowed          int // of two runs
	}{
		{"from a workspace below its share, for one below", rank{}, "below", false, 2},
		{"from a workspace below its share, for one above", rank{aboveShare: true}, "below", false, 0},
		{"from a workspace above its share, until it reaches that", rank{aboveShare: true}, "above", false, 1},
		{"from the same workspace", rank{aboveShare: true}, "own", false, 2},
		{"from a job without a workspace", rank{aboveShare: true}, "", false, 2},
		{"for a job over its rate", rank{overRate: true}, "above", false, 0},
		{"between jobs over their rates", rank{overRate: true}, "above", true, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := fullPool(0)
			p.shares, p.occupied = shares, occupied
			guard := p.newPreemptionGuard(&unit{job: &job{workspace: "own"}, rank: c.rank})
			allowed := 0
			for range 2 {
				r := &run{
					workspace: c.victim, size: resources{cpu: 1000},
					task: &task{unit: &unit{job: &job{workspace: c.victim, overRate: c.victimIsOverRate}}},
				}
				if guard.allows(r) {
					is.True(guard.allows(r)) // it counts once
					allowed++
				}
			}
			is.Equal(allowed, c.allowed)
		})
	}
}
