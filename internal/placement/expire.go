package placement

import (
	"context"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/state/tasks"
)

// expire declares workers gone whose lease has run out, until ctx ends.
func (t *term) expire(ctx context.Context) error {
	ticker := time.NewTicker(t.config.Tick)
	defer ticker.Stop()
	barred := make(map[tasks.Boot]bool) // answers are barred until the expiry's fate is known
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		t.barExpired(barred)
		if len(barred) > 0 && t.commitExpiry(ctx, barred) {
			clear(barred)
		}
	}
}

// barExpired bars answers to the workers whose lease has run out.
func (t *term) barExpired(barred map[tasks.Boot]bool) {
	for _, boot := range t.config.Tasks.AliveBoots() {
		if t.granter.BeginExpiry(holder(boot.Worker, boot.Boot)) {
			barred[boot] = true
		}
	}
}

// commitExpiry returns true once all expiries are applied, and lifts the bars.
// Otherwise they may be applied later: the bars stay and it is tried again.
func (t *term) commitExpiry(ctx context.Context, barred map[tasks.Boot]bool) bool {
	command := &apiv1.PlacementCommand{}
	for boot := range barred {
		command.Expire = append(command.Expire, &apiv1.WorkerExpiry{Name: boot.Worker, Boot: boot.Boot})
	}
	if err := t.commits.submit(ctx, command); err != nil {
		return false
	}
	for boot := range barred {
		t.granter.EndExpiry(holder(boot.Worker, boot.Boot))
		t.granter.RemoveHolder(holder(boot.Worker, boot.Boot))
		t.counts.expired.Inc(1)
		t.config.Logger.Info("worker lease expired", "worker", boot.Worker, "boot", boot.Boot)
	}
	return true
}
