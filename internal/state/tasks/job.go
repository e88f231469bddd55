package tasks

import (
	"strconv"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// job is a configured job, or a removed one that has live attempts or
// non-idempotent tasks that may have started.
type job struct {
	spec          *apiv1.Job // replaced as a whole, never modified
	serial        uint64     // makes attempt ids unique, see attemptID
	generation    string     // to which the tasks' states belong; may lag behind the spec's
	removed       bool
	removedAt     int64    // Unix milliseconds; 0 unless removed
	placedCount   int      // tasks of a gang that were placed together; 0 if none is live
	liveCount     int      // attempts that hold capacity
	tasks         []*task  // by index, at least count(); those beyond it are stopping or ended
	failedOn      []string // workers on which its starts failed since its last healthy start
	neverRunnable string   // why the job can never run; empty if it can
}

func (j *job) amount() resources.Amount {
	return resources.FromMessage(j.spec.GetResources())
}

// count returns the desired number of tasks; 0 for a removed job.
func (j *job) count() int {
	if j.removed {
		return 0
	}
	return max(0, int(j.spec.GetCount()))
}

func (j *job) isGang() bool {
	return j.spec.GetKind() == apiv1.JobKind_JOB_KIND_GANG
}

func (j *job) isService() bool {
	return j.spec.GetKind() == apiv1.JobKind_JOB_KIND_SERVICE
}

// wanted reports whether the task is within the desired count.
func (j *job) wanted(t *task) bool {
	return int(t.index) < j.count()
}

// attemptID returns the id of a task's n-th attempt. The serial distinguishes the
// id from those of an earlier job of the same name, or an earlier task of the same
// index, that was removed.
func attemptID(name string, index int32, serial, n uint64) string {
	return name + "/" + strconv.Itoa(int(index)) + "/" +
		strconv.FormatUint(serial, 10) + "." + strconv.FormatUint(n, 10)
}

// outdated reports whether the attempt was placed with another command, other
// resources or another generation than the job has now.
func (j *job) outdated(a *attempt) bool {
	return a.command != j.spec.GetCommand() ||
		a.amount != j.amount() ||
		a.generation != j.spec.GetGeneration()
}
