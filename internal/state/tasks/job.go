package tasks

import (
	"strconv"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// job is a configured job, or a removed one whose tasks still matter.
type job struct {
	spec       *apiv1.Job // never changed in place
	serial     uint64
	generation string // the one that the tasks' states belong to
	removed    bool
	removedAt  int64
	placed     int      // tasks of a gang that were placed together; 0: none is live
	live       int      // attempts that hold capacity
	tasks      []*task  // at least spec.Count; those beyond are cancelled
	failedOn   []string // workers on which its starts failed of late
	never      string   // why no worker can hold a task; empty otherwise
}

func (j *job) amount() resources.Amount {
	return resources.FromMessage(j.spec.GetResources())
}

// count returns how many tasks shall exist.
func (j *job) count() int {
	if j.removed {
		return 0
	}
	return max(0, int(j.spec.GetCount()))
}

func (j *job) gang() bool {
	return j.spec.GetKind() == apiv1.JobKind_JOB_KIND_GANG
}

func (j *job) service() bool {
	return j.spec.GetKind() == apiv1.JobKind_JOB_KIND_SERVICE
}

// wanted reports whether the task shall exist.
func (j *job) wanted(t *task) bool {
	return int(t.index) < j.count()
}

// attemptID names the n-th attempt of a task. The serial makes ids of a job
// that was removed and published again differ from earlier ones.
func attemptID(name string, index int32, serial, n uint64) string {
	return name + "/" + strconv.Itoa(int(index)) + "/" +
		strconv.FormatUint(serial, 10) + "." + strconv.FormatUint(n, 10)
}

// outdated reports whether the attempt was placed from another version of the
// job that calls for a new attempt.
func (j *job) outdated(a *attempt) bool {
	return a.command != j.spec.GetCommand() ||
		a.amount != j.amount() ||
		a.generation != j.spec.GetGeneration()
}
