package spec

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// checkJob reports values of one job that contradict each other.
func checkJob(j *parsedJob) {
	switch j.GetKind() {
	case apiv1.JobKind_JOB_KIND_SERVICE:
		checkService(j)
	case apiv1.JobKind_JOB_KIND_GANG:
		checkNoRoutes(j)
		if j.GetCount() < 2 {
			j.table.Report("count", "2 or more", "gang %q has %d task", j.GetName(), j.GetCount())
		}
	case apiv1.JobKind_JOB_KIND_BATCH:
		checkNoRoutes(j)
	}
	checkTimes(j)
	if j.GetNonIdempotent() && j.GetCheckpoint() {
		j.table.Report("checkpoint", "non_idempotent or checkpoint, not both",
			"job %q is non-idempotent, so it is never started again from a checkpoint", j.GetName())
	}
}

// checkService reports keys that only batch and gang jobs may have.
func checkService(j *parsedJob) {
	const allowed = "only in batch and gang jobs"
	for _, key := range []string{"deadline", "expected_run", "checkpoint", "non_idempotent"} {
		if j.table.Has(key) {
			j.table.Report(key, allowed, "service %q has the key %q", j.GetName(), key)
		}
	}
}

// checkNoRoutes reports a job that has routes and is not a service.
func checkNoRoutes(j *parsedJob) {
	if j.table.Has("routes") {
		j.table.Report("routes", "only in services", "job %q has routes, but is no service", j.GetName())
	}
}

// checkTimes reports a deadline that is not after the release time, or leaves less
// than the expected run time. It checks nothing if either time is not set.
func checkTimes(j *parsedJob) {
	release, deadline := j.GetReleaseUnixMs(), j.GetDeadlineUnixMs()
	if release == 0 || deadline == 0 {
		return
	}
	window := time.Duration(deadline-release) * time.Millisecond
	expected := time.Duration(j.GetExpectedRunMs()) * time.Millisecond
	switch {
	case window <= 0:
		j.table.Report("deadline", "a time after release", "job %q has its deadline before its release", j.GetName())
	case window < expected:
		j.table.Report("deadline", "at least release plus expected_run",
			"job %q has %v from release to deadline, but is expected to run for %v", j.GetName(), window, expected)
	}
}
