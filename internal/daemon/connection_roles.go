package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/pistachioport/pistachioport/internal/connlimit"
	"github.com/pistachioport/pistachioport/internal/replica"
)

const (
	// connectionRolesInterval is the time between two adjustments of the limits without a change of role.
	connectionRolesInterval = 500 * time.Millisecond
	// keepUsedReports is two report intervals of a worker: a connection that was used within that time will be used
	// again.
	keepUsedReports = 2 * 1500 * time.Millisecond
)

// connectionRoles keeps the limits of a control process's connections in line with its role and the size of the
// deployment. Unless the deployment is large, they are those of the base plan in every role.
type connectionRoles struct {
	size    *connlimit.Size
	base    connlimit.Plan
	large   connlimit.LargePlan
	reports *connlimit.Listener
	client  workerConnectionPool
	workers func() int // number of workers in the replicated table
	log     roleLog
	logger  *slog.Logger
}

// workerConnectionPool is the connections to workers.
type workerConnectionPool interface {
	// ShareConnections sets the limit that polls and orders share; nil: they don't.
	ShareConnections(limit func() int)
	WorkerConnections() int
	CloseIdleWorkerConnections()
}

// roleLog tells whether this process leads.
type roleLog interface {
	Status() replica.Status
	Changed() <-chan struct{}
}

// run adjusts the limits at each change of role, and regularly, until ctx ends.
func (c *connectionRoles) run(ctx context.Context) {
	ticker := time.NewTicker(connectionRolesInterval)
	defer ticker.Stop()
	c.client.ShareConnections(nil) // set by the role before, if the data folder failed
	for {
		changed := c.log.Changed()
		c.adjust()
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// adjust sets the limits for the current role and size.
func (c *connectionRoles) adjust() {
	wasLarge, workers := c.size.IsLarge(), c.workers()
	isLarge := c.size.Update(workers)
	if isLarge != wasLarge {
		c.logger.Info("size of the deployment changed", "large", isLarge, "workers", workers)
	}
	if !isLarge {
		if wasLarge {
			c.client.ShareConnections(nil)
			c.reports.SetLimits(connlimit.Limits{Connections: c.base.Reports})
		}
		return
	}
	leads := c.log.Status().IsLeader
	if !leads {
		c.client.CloseIdleWorkerConnections()
	}
	c.reports.SetLimits(connlimit.Limits{
		Connections: c.large.ReportLimit(leads, c.client.WorkerConnections()), KeepUsed: keepUsedReports,
	})
	c.client.ShareConnections(func() int { return c.large.WorkerLimit(c.reports.Open()) })
}
