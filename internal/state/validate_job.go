package state

import (
	"fmt"
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

func (v *validation) checkJobs(jobs []*apiv1.Job) {
	seen := make(map[string]bool, len(jobs))
	tasks := 0
	for _, job := range jobs {
		v.checkName("job", job.GetName())
		if seen[job.GetName()] {
			v.addf("job %q is declared twice", job.GetName())
		}
		seen[job.GetName()] = true
		v.checkJob(job)
		tasks += int(max(0, job.GetCount()))
	}
	v.checkMax("tasks", tasks, maxTasks)
}

func (v *validation) checkJob(job *apiv1.Job) {
	name := job.GetName()
	v.checkKind(job)
	if !v.teams[job.GetTeam()] {
		v.addf("job %q names team %q, which does not exist", name, job.GetTeam())
	}
	v.checkResources(fmt.Sprintf("job %q", name), job.GetResources())
	if job.GetCount() < 1 {
		v.addf("job %q has count %d; at least 1 is needed", name, job.GetCount())
	}
	v.checkMax(fmt.Sprintf("tasks of job %q", name), int(job.GetCount()), maxTasksPerJob)
	v.checkTimes(job)
	if job.GetMaxFailures() < 0 {
		v.addf("job %q has a negative bound of failures", name)
	}
	for _, text := range []string{job.GetCommand(), job.GetSource(), job.GetGeneration()} {
		v.checkMax(fmt.Sprintf("bytes of a text of job %q", name), len(text), maxTextBytes)
	}
	v.checkRoutes(job)
}

func (v *validation) checkKind(job *apiv1.Job) {
	if _, known := apiv1.JobKind_name[int32(job.GetKind())]; !known || job.GetKind() == apiv1.JobKind_JOB_KIND_UNSPECIFIED {
		v.addf("job %q has no known kind", job.GetName())
	}
	if _, known := apiv1.Class_name[int32(job.GetClass())]; !known {
		v.addf("job %q has no known class", job.GetName())
	}
	if _, known := apiv1.Spread_name[int32(job.GetSpread())]; !known {
		v.addf("job %q has no known spread", job.GetName())
	}
}

func (v *validation) checkTimes(job *apiv1.Job) {
	if job.GetReleaseUnixMs() < 0 || job.GetDeadlineUnixMs() < 0 || job.GetExpectedRunMs() < 0 {
		v.addf("job %q has a negative time", job.GetName())
	}
	if job.GetDeadlineUnixMs() != 0 && job.GetDeadlineUnixMs() < job.GetReleaseUnixMs() {
		v.addf("job %q has a deadline before its release time", job.GetName())
	}
}

func (v *validation) checkRoutes(job *apiv1.Job) {
	name := job.GetName()
	if len(job.GetRoutes()) > 0 && job.GetKind() != apiv1.JobKind_JOB_KIND_SERVICE {
		v.addf("job %q has routes but is no service", name)
	}
	v.checkMax(fmt.Sprintf("routes of job %q", name), len(job.GetRoutes()), maxRoutesPerJob)
	for _, route := range job.GetRoutes() {
		v.checkRoute(name, route)
	}
}

func (v *validation) checkRoute(job string, route *apiv1.Route) {
	prefix := route.GetPathPrefix()
	if len(prefix) > maxPrefixBytes {
		v.addf("job %q has a route prefix longer than %d bytes", job, maxPrefixBytes)
		return
	}
	if !strings.HasPrefix(prefix, "/") {
		v.addf("route %q of job %q does not begin with %q", prefix, job, "/")
	}
	if other, taken := v.prefixes[prefix]; taken {
		v.addf("route %q of job %q is taken by job %q", prefix, job, other)
	}
	v.prefixes[prefix] = job
	if route.GetTimeoutMs() < 0 {
		v.addf("route %q of job %q has a negative timeout", prefix, job)
	}
	if _, known := apiv1.Class_name[int32(route.GetClass())]; !known {
		v.addf("route %q of job %q has no known class", prefix, job)
	}
}
