package spec

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/finding"
	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

// check reports problems that concern several parts of the configuration, in the same
// file or in different ones.
func (c *collection) check() {
	checkUnique("job", c.jobs, func(j *parsedJob) *tomlfile.Table { return j.table })
	checkUnique("team", c.teams, func(t *parsedTeam) *tomlfile.Table { return t.table })
	checkUnique("worker_shape", c.shapes, func(s *parsedShape) *tomlfile.Table { return s.table })
	c.checkTotals()
	c.checkRoutes()
	c.checkTasksFitShapes()
	c.checkTeams()
	c.checkQuotaSums()
}

// checkUnique reports every use of a name after the first one. Empty names are
// reported elsewhere.
func checkUnique[T named](kind string, parts []T, table func(T) *tomlfile.Table) {
	firstUses := map[string]string{}
	for _, part := range parts {
		firstLocation, isDuplicate := firstUses[part.GetName()]
		switch {
		case part.GetName() == "":
		case isDuplicate:
			table(part).Report("name", "each name once over all files",
				"%s %q is already described at %s", kind, part.GetName(), firstLocation)
		default:
			firstUses[part.GetName()] = location(table(part), "name")
		}
	}
}

// Bounds of one configuration. The cell enforces the same bounds.
const (
	maxJobs       = 20000
	maxTeams      = 1000
	maxShapes     = 1000
	maxTotalTasks = 200000
	maxTotalBytes = 3 << 20 // as encoded for the replicated log
)

// checkTotals reports a configuration of too many parts or tasks, or of too many bytes.
func (c *collection) checkTotals() {
	tasks := 0
	for _, j := range c.jobs {
		tasks += int(j.GetCount())
	}
	for _, total := range []struct {
		what         string
		count, limit int
	}{
		{"jobs", len(c.jobs), maxJobs},
		{"teams", len(c.teams), maxTeams},
		{"worker shapes", len(c.shapes), maxShapes},
		{"tasks", tasks, maxTotalTasks},
		{"bytes", proto.Size(c.configuration()), maxTotalBytes},
	} {
		if total.count > total.limit {
			c.findings.Add(finding.Finding{
				File:    "all files",
				Problem: fmt.Sprintf("together they describe %d %s", total.count, total.what),
				Allowed: fmt.Sprintf("at most %d", total.limit),
			})
		}
	}
}

// checkRoutes reports every use of a path prefix after the first one. Prefixes that
// differ only in a trailing slash are the same.
func (c *collection) checkRoutes() {
	firstUses := map[string]string{}
	for _, j := range c.jobs {
		for _, r := range j.routes {
			prefix := strings.TrimSuffix(r.GetPathPrefix(), "/")
			firstLocation, isDuplicate := firstUses[prefix]
			if isDuplicate && r.table.Has("path") {
				r.table.Report("path", "each path once over all files",
					"path %q of job %q is already routed at %s", r.GetPathPrefix(), j.GetName(), firstLocation)
				continue
			}
			firstUses[prefix] = location(r.table, "path")
		}
	}
}

// checkTasksFitShapes reports jobs whose task needs more than a worker of any shape
// has. Without shapes it checks nothing.
func (c *collection) checkTasksFitShapes() {
	if len(c.shapes) == 0 {
		return
	}
	for _, j := range c.jobs {
		if !c.fitsSomeShape(j.GetResources()) {
			j.table.Report("", "what one of the worker shapes has: "+c.formatShapes(),
				"one task of job %q, %s, is larger than any worker", j.GetName(), formatResources(j.GetResources()))
		}
	}
}

func (c *collection) fitsSomeShape(task *apiv1.Resources) bool {
	for _, s := range c.shapes {
		if fits(task, s.GetResources()) {
			return true
		}
	}
	return false
}

// formatShapes lists the worker shapes, for a finding.
func (c *collection) formatShapes() string {
	texts := make([]string, len(c.shapes))
	for i, s := range c.shapes {
		texts[i] = fmt.Sprintf("%s (%s)", s.GetName(), formatResources(s.GetResources()))
	}
	return strings.Join(texts, ", ")
}

// checkTeams reports jobs of unknown teams and jobs that can't start within their
// team's quota.
func (c *collection) checkTeams() {
	quotas := map[string]*apiv1.Resources{}
	var names []string
	for _, t := range c.teams {
		quotas[t.GetName()] = t.GetQuota()
		names = append(names, t.GetName())
	}
	for _, j := range c.jobs {
		quota, ok := quotas[j.GetTeam()]
		if !ok && j.GetTeam() != "" {
			j.table.Report("team", strings.Join(names, ", "), "job %q belongs to the unknown team %q", j.GetName(), j.GetTeam())
		}
		if required := minRequired(j.Job); isValidQuota(quota) && !fits(required, quota) {
			j.table.Report("", fmt.Sprintf("the quota of team %s, %s", j.GetTeam(), formatResources(quota)),
				"job %q needs %s at once", j.GetName(), formatResources(required))
		}
	}
}

// isValidQuota reports whether the team is known and its quota was read without a
// finding.
func isValidQuota(quota *apiv1.Resources) bool {
	return quota.GetCpuMillis() > 0 && quota.GetMemoryBytes() > 0
}

// minRequired returns the resources that a job needs at the same time: those of one
// task for a batch job, those of all tasks for a service or gang.
func minRequired(j *apiv1.Job) *apiv1.Resources {
	if j.GetKind() == apiv1.JobKind_JOB_KIND_BATCH {
		return j.GetResources()
	}
	return multiplyResources(j.GetResources(), int64(j.GetCount()))
}

// checkQuotaSums reports quotas whose sum exceeds the resources of all workers.
// Without shapes or teams it checks nothing.
func (c *collection) checkQuotaSums() {
	if len(c.shapes) == 0 || len(c.teams) == 0 {
		return
	}
	capacity, quotaSum := &apiv1.Resources{}, &apiv1.Resources{}
	for _, s := range c.shapes {
		capacity = addResources(capacity, multiplyResources(s.GetResources(), s.count))
	}
	for _, t := range c.teams {
		quotaSum = addResources(quotaSum, t.GetQuota())
	}
	if !fits(quotaSum, capacity) {
		last := c.teams[len(c.teams)-1]
		last.table.Report("", "at most what the cell has, "+formatResources(capacity),
			"the quotas of all teams add up to %s", formatResources(quotaSum))
	}
}

// location returns the file and line of a key, as findings give them.
func location(table *tomlfile.Table, key string) string {
	return fmt.Sprintf("%s:%d", table.File(), table.Line(key))
}
