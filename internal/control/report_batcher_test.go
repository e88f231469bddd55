package control

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/bubble"
)

func TestReportsToASlowLeaderShareCalls(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		const leaderTime, interval, reports = 400 * time.Millisecond, 10 * time.Millisecond, 100
		var calls, recorded, inFlight, most atomic.Int64
		b := &reportBatcher{send: func(_ context.Context, records []*apiv1.PoolWorker) error {
			calls.Add(1)
			recorded.Add(int64(len(records)))
			most.Store(max(most.Load(), inFlight.Add(1)))
			defer inFlight.Add(-1)
			time.Sleep(leaderTime)
			return nil
		}}
		var workers sync.WaitGroup
		for range reports {
			workers.Go(func() { is.NoErr(b.record(t.Context(), &apiv1.PoolWorker{})) })
			time.Sleep(interval)
		}
		workers.Wait()
		t.Logf("%d reports, %d calls, %d at the same time", reports, calls.Load(), most.Load())
		is.Equal(recorded.Load(), int64(reports))
		is.Equal(most.Load(), int64(1))
	})
}

// Work for workers that have given up delays the others: they have reported elsewhere, and report again.
func TestReportsOfCallersThatGaveUpAreDropped(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		const reports = 50
		var recorded atomic.Int64
		b := &reportBatcher{bounded: func() bool { return true }, send: func(_ context.Context, records []*apiv1.PoolWorker) error {
			recorded.Add(int64(len(records)))
			time.Sleep(600 * time.Millisecond)
			return nil
		}}
		go func() { _ = b.record(t.Context(), &apiv1.PoolWorker{}) }()
		time.Sleep(2 * reportBatchDelay) // the first batch is being recorded
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		var workers sync.WaitGroup
		for range reports {
			workers.Go(func() { is.True(b.record(ctx, &apiv1.PoolWorker{}) != nil) })
		}
		workers.Go(func() { is.NoErr(b.record(t.Context(), &apiv1.PoolWorker{})) })
		workers.Wait()
		is.Equal(recorded.Load(), int64(2))
	})
}

// Reports that can't be committed in time are refused at once in a large deployment only.
func TestBatchIsBoundedInALargeDeployment(t *testing.T) {
	for _, large := range []bool{false, true} {
		bubble.Test(t, func(t *testing.T) {
			is := is.New(t)
			const reports = maxBatchedReports + 100
			b := &reportBatcher{bounded: func() bool { return large }, send: func(context.Context, []*apiv1.PoolWorker) error { return nil }}
			var refused atomic.Int64
			var workers sync.WaitGroup
			for range reports {
				workers.Go(func() {
					if b.record(t.Context(), &apiv1.PoolWorker{}) != nil {
						refused.Add(1)
					}
				})
			}
			workers.Wait()
			expected := int64(0)
			if large {
				expected = reports - maxBatchedReports
			}
			is.Equal(refused.Load(), expected)
		})
	}
}
