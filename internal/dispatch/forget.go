package dispatch

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// forgetWorker removes the record of an ended incarnation from the replicated table after the delay, until
// which a later leader has to wait for it. It repeats the command until it is committed or the term
// ends: a worker that stayed in the table without being in its pool would not be added again by
// its next report.
func (d *Dispatcher) forgetWorker(record *apiv1.PoolWorker, delay time.Duration) {
	d.spawn(func() {
		if delay > 0 && sleep(d.ctx, delay) != nil {
			return
		}
		incarnation := &apiv1.WorkerLife{Id: record.GetId(), BornUnixMs: record.GetBornUnixMs()}
		for {
			err := d.proposeCommand(&apiv1.JobsCommand{ForgetWorkers: []*apiv1.WorkerLife{incarnation}})
			if err == nil || d.ctx.Err() != nil {
				return
			}
			d.Logger.Warn("lost worker not removed from the table", "worker", record.GetId(), "error", err)
			if sleep(d.ctx, forgetRetryInterval) != nil {
				return
			}
		}
	})
}

// forgetRetryInterval is the time between two attempts to remove a lost worker from the
// replicated table.
const forgetRetryInterval = 500 * time.Millisecond

// maxForgottenPerCommand bounds the number of jobs removed by one command.
const maxForgottenPerCommand = 500

// forgetFinishedJobs removes jobs from the replicated table whose state callers
// may no longer query.
func (d *Dispatcher) forgetFinishedJobs() {
	cutoffUnixMs := d.nowUnixMs() - d.Timing.JobStatusRetention.Milliseconds()*jobRetentionFactor
	ids := d.Table.FinishedBefore(cutoffUnixMs, maxForgottenPerCommand)
	if len(ids) == 0 {
		return
	}
	if err := d.proposeCommand(&apiv1.JobsCommand{ForgetJobs: ids}); err != nil {
		d.Logger.Warn("finished jobs not removed from the table", "jobs", len(ids), "error", err)
	}
}

// jobRetentionFactor keeps finished jobs for twice the time during which callers
// may query them, so that a step of the wall clock does not remove any too early.
const jobRetentionFactor = 2
