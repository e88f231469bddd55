package placement

import (
	"context"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/state/tasks"
)

// runExpiry expires the workers whose lease has expired, until ctx ends.
func (t *term) runExpiry(ctx context.Context) error {
	ticker := time.NewTicker(t.config.Tick)
	defer ticker.Stop()
	expiring := make(map[tasks.Boot]bool) // their renewals are rejected until the expiry is applied
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		t.beginExpiries(expiring)
		if len(expiring) > 0 && t.commitExpiry(ctx, expiring) {
			clear(expiring)
		}
	}
}

// beginExpiries rejects renewals of workers whose lease has expired.
func (t *term) beginExpiries(expiring map[tasks.Boot]bool) {
	for _, boot := range t.config.Tasks.AliveBoots() {
		if t.granter.BeginExpiry(leaseHolder(boot.Worker, boot.Boot)) {
			expiring[boot] = true
		}
	}
}

// commitExpiry commits the expiries. It returns true once all are applied, and
// accepts renewals again. Otherwise they may still be applied later, so renewals
// remain rejected and the caller retries.
func (t *term) commitExpiry(ctx context.Context, expiring map[tasks.Boot]bool) bool {
	command := &apiv1.PlacementCommand{}
	for boot := range expiring {
		command.Expire = append(command.Expire, &apiv1.WorkerExpiry{Name: boot.Worker, Boot: boot.Boot})
	}
	if err := t.batcher.submit(ctx, command); err != nil {
		return false
	}
	for boot := range expiring {
		t.granter.EndExpiry(leaseHolder(boot.Worker, boot.Boot))
		t.granter.RemoveHolder(leaseHolder(boot.Worker, boot.Boot))
		t.counters.workersExpired.Inc(1)
		t.config.Logger.Info("worker lease expired", "worker", boot.Worker, "boot", boot.Boot)
	}
	return true
}
