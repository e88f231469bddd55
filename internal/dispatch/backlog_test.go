package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/bubble"
)

// backlogPool returns a full pool with the waiting units, each of which has been tried. Time is virtual.
func backlogPool(gangs, singles int) *pool {
	const workers, workspaces = 350, 20
	p := fullPool(workers)
	catalog := &apiv1.Catalog{Version: 1}
	for i := range workspaces {
		catalog.Workspaces = append(catalog.Workspaces, weightedWorkspace(fmt.Sprint(i), 1))
	}
	p.d.Table.Apply(0, &apiv1.JobsCommand{Catalog: catalog})
	fillBacklog(p, gangs, singles, func(i int) string { return fmt.Sprint(i % workspaces) })
	p.runPass()
	return p
}

// triedIn returns the number of attempts to place units in a pass that begins after the pause.
func triedIn(p *pool, pause time.Duration) int64 {
	time.Sleep(pause)
	before := p.d.counters.unitsTried.Count()
	p.runPass()
	return p.d.counters.unitsTried.Count() - before
}

// addUrgentJob adds a job of one task to the pool, for which all workers are allowed.
func addUrgentJob(p *pool, id string, cpu int64) *unit {
	j := newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{
		Id: id, Queue: restrictedQueue(), Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{stepOf(1, cpu)}},
		AcceptedUnixMs: time.Now().UnixMilli(),
	}}, time.Now(), time.Now().UnixMilli())
	values := make(map[string]string)
	for id := range p.workers {
		values[id] = "ticket"
	}
	j.units[0].advice.recordAnswer(p.workerList, values, time.Now().Add(time.Hour))
	p.insertJob(j)
	return j.units[0]
}

// Each pass tried all units that waited, though nothing had changed for them. The leader's processor time went into
// passes that placed nothing, and urgent jobs were started late for as long as the backlog lasted.
func TestPassDoesNotTryUnitsForWhichNothingChanged(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := backlogPool(500, 3000)
		const passes = 10
		tried := int64(0)
		for range passes {
			tried += triedIn(p, time.Millisecond)
		}
		is.Equal(tried, int64(0))
		urgent := addUrgentJob(p, "urgent", 1000)
		p.workerList[100].free.add(cpuOf(1000))
		is.True(triedIn(p, time.Millisecond) <= 2)
		is.Equal(urgent.active, 1)
	})
}

// What the units of a backlog cost per second did not depend on how many could start.
func TestBacklogIsTriedAtABoundedRate(t *testing.T) {
	for _, units := range []int{100, 1000, 4000} {
		t.Run(fmt.Sprint(units), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := backlogPool(units/2, units/2)
				const seconds, maxPerSecond = 10, 2500
				tried := int64(0)
				for begin := time.Now(); time.Since(begin) < seconds*time.Second; {
					tried += triedIn(p, idlePassInterval)
				}
				is.True(tried <= seconds*maxPerSecond)
				is.True(tried >= int64(seconds*units/5)) // no unit is forgotten
			})
		})
	}
}
