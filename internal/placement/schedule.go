package placement

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/scheduler"
)

// runScheduler runs scheduling rounds until ctx ends: after each change of the table
// and whenever something becomes due.
func (t *term) runScheduler(ctx context.Context) error {
	if err := t.catchUp(ctx); err != nil {
		return err
	}
	resync := true
	for {
		d := t.runRound(resync)
		resync = t.commitDecision(ctx, d)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if d.LimitReached || resync {
			continue
		}
		if err := t.waitForWork(ctx, d.NextRoundAt); err != nil {
			return err
		}
	}
}

// catchUp waits until the table holds all that earlier leaders committed.
func (t *term) catchUp(ctx context.Context) error {
	for t.barrier.wait(ctx) != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		t.backOff(ctx)
	}
	return nil
}

// runRound updates the cell with the table's changes, or with its full state if
// resync is set, and runs one round.
func (t *term) runRound(resync bool) *scheduler.Decision {
	changes := t.config.Tasks.DrainChanges
	if resync {
		changes = t.config.Tasks.DrainFullState
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	start := time.Now()
	now := t.config.now()
	t.cell.Update(now, changes())
	for worker, amount := range t.usage.take() {
		t.cell.SetUsage(worker, amount)
	}
	d := t.cell.Schedule(now, t.config.PlanLimit)
	t.counters.rounds.Inc(1)
	t.counters.roundTime.UpdateSince(start)
	return d
}

// commitDecision proposes a decision. It returns true if it may not be applied as
// the cell assumes, so that the cell needs a full resync.
func (t *term) commitDecision(ctx context.Context, d *scheduler.Decision) bool {
	if len(d.Plans) == 0 && len(d.Stop) == 0 {
		return false
	}
	t.counters.stopsProposed.Inc(int64(len(d.Stop)))
	result, err := t.config.propose(ctx, &apiv1.PlacementCommand{Stop: d.Stop, Plans: d.Plans})
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, replica.ErrNotLeader) {
			t.config.Logger.Warn("placement not committed", "error", err, "plans", len(d.Plans))
		}
		t.backOff(ctx)
		return true
	}
	resync := false
	for i, verdict := range result.GetVerdicts() {
		if verdict.GetRefusal() == "" {
			t.counters.placed.Inc(int64(len(d.Plans[i].GetAttempts())))
			continue
		}
		t.counters.countRefusal(verdict.GetRefusal())
		resync = true
	}
	return resync
}

// backOff waits for one tick, so that a failing log is not retried in a tight loop.
func (t *term) backOff(ctx context.Context) {
	timer := time.NewTimer(t.config.Tick)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// waitForWork returns when the table changes or the clock reaches until, in Unix
// milliseconds; 0: only on a change.
func (t *term) waitForWork(ctx context.Context, until int64) error {
	ticker := time.NewTicker(t.config.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.config.Tasks.ChangesReady():
			return nil
		case <-ticker.C:
		}
		if until > 0 && t.config.now() >= until {
			return nil
		}
	}
}
