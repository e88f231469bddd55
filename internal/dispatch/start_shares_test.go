package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/bubble"
)

// Starts of a backlog without value took all slots and the leader's processor time, and urgent tasks started no sooner.
func TestExpiredBacklogLeavesStartSlotsToUrgentTasks(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		const slots, backlog = 16, 100
		p := fullPool(0)
		p.d.orderSlots = newCallSlots(slots)
		for i := range 4 {
			w := p.addWorker(newFakeWorker(fmt.Sprint(i), 1_000_000).record)
			w.synced = true
		}
		add := func(id string, age time.Duration) *unit {
			j := newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{
				Id: id, Queue: urgentQueue(), Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{stepOf(1, 1)}},
				AcceptedUnixMs: time.Now().Add(-age).UnixMilli(),
			}}, time.Now(), time.Now().UnixMilli())
			p.addAcceptedJob(j)
			return j.units[0]
		}
		for i := range backlog {
			add(fmt.Sprint(i), time.Hour)
		}
		for range 3 {
			p.runPass()
		}
		is.Equal(p.d.orderSlots.planned.Load(), int64(slots/4))
		for range slots / 4 {
			add(fmt.Sprintf("late %d", time.Now().UnixNano()), time.Second)
			time.Sleep(time.Microsecond)
		}
		urgent := add("urgent", 0)
		p.runUrgentPass()
		is.Equal(urgent.active, 1)
		p.runPass()
		is.Equal(p.d.orderSlots.planned.Load(), int64(slots/2)) // late ones use up to half of the slots
		for p.d.orderSlots.planned.Load() > 0 {
			p.d.orderSlots.unplan()
		}
		select {
		case <-p.wakeup:
		default:
		}
		p.d.resumeCutPasses()
		is.Equal(len(p.wakeup), 1) // the pass goes on
	})
}
