package placement

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/scheduler"
)

// decide runs rounds of decisions until ctx ends: at each change of the table,
// and when something becomes due.
func (t *term) decide(ctx context.Context) error {
	if err := t.catchUp(ctx); err != nil {
		return err
	}
	afresh := true
	for {
		d := t.round(afresh)
		afresh = t.commit(ctx, d)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if d.LimitReached || afresh {
			continue
		}
		if err := t.sleep(ctx, d.NextRoundAt); err != nil {
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
		t.pause(ctx)
	}
	return nil
}

// round takes over the table's changes, or all of it, and decides.
func (t *term) round(afresh bool) *scheduler.Decision {
	changes := t.config.Tasks.DrainChanges
	if afresh {
		changes = t.config.Tasks.DrainFullState
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	began := time.Now()
	now := t.config.now()
	t.cell.Update(now, changes())
	for worker, amount := range t.usage.take() {
		t.cell.SetUsage(worker, amount)
	}
	d := t.cell.Schedule(now, t.config.PlanLimit)
	t.counts.rounds.Inc(1)
	t.counts.roundTime.UpdateSince(began)
	return d
}

// commit proposes what a round decided. It returns true if the cell's
// assumptions may be wrong and it must be filled afresh.
func (t *term) commit(ctx context.Context, d *scheduler.Decision) bool {
	if len(d.Plans) == 0 && len(d.Stop) == 0 {
		return false
	}
	t.counts.stopped.Inc(int64(len(d.Stop)))
	result, err := t.config.propose(ctx, &apiv1.PlacementCommand{Stop: d.Stop, Plans: d.Plans})
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, replica.ErrNotLeader) {
			t.config.Logger.Warn("placement not committed", "error", err, "plans", len(d.Plans))
		}
		t.pause(ctx)
		return true
	}
	afresh := false
	for i, verdict := range result.GetVerdicts() {
		if verdict.GetRefusal() == "" {
			t.counts.placed.Inc(int64(len(d.Plans[i].GetAttempts())))
			continue
		}
		t.counts.refused(verdict.GetRefusal())
		afresh = true
	}
	return afresh
}

// pause keeps a failing log from being asked without end.
func (t *term) pause(ctx context.Context) {
	timer := time.NewTimer(t.config.Tick)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// sleep returns when the table changes or the clock reaches the given time, in
// Unix milliseconds; 0: no time.
func (t *term) sleep(ctx context.Context, until int64) error {
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
