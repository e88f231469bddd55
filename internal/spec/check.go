package spec

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/finding"
	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

// check reports what is wrong between the parts, over all files.
func (c *collection) check() {
	checkUnique("job", c.jobs, func(j *job) *tomlfile.Table { return j.table })
	checkUnique("team", c.teams, func(t *team) *tomlfile.Table { return t.table })
	checkUnique("worker_shape", c.shapes, func(s *shape) *tomlfile.Table { return s.table })
	c.checkTotals()
	c.checkRoutes()
	c.checkShapes()
	c.checkTeams()
	c.checkQuotaSums()
}

// checkUnique reports every name after its first use.
func checkUnique[T named](what string, parts []T, table func(T) *tomlfile.Table) {
	first := map[string]string{}
	for _, part := range parts {
		place, taken := first[part.GetName()]
		switch {
		case part.GetName() == "":
		case taken:
			table(part).Report("name", "each name once over all files",
				"%s %q is already described at %s", what, part.GetName(), place)
		default:
			first[part.GetName()] = placeOf(table(part), "name")
		}
	}
}

// Bounds of one configuration. The cell has the same ones.
const (
	maxJobs      = 20000
	maxTeams     = 1000
	maxShapes    = 1000
	maxAllTasks  = 200000
	maxTotalSize = 3 << 20 // bytes, as encoded for the log
)

// checkTotals reports a configuration that is too large as a whole.
func (c *collection) checkTotals() {
	tasks := 0
	for _, j := range c.jobs {
		tasks += int(j.GetCount())
	}
	for _, total := range []struct {
		what        string
		count, most int
	}{
		{"jobs", len(c.jobs), maxJobs},
		{"teams", len(c.teams), maxTeams},
		{"worker shapes", len(c.shapes), maxShapes},
		{"tasks", tasks, maxAllTasks},
		{"bytes", proto.Size(c.configuration()), maxTotalSize},
	} {
		if total.count > total.most {
			c.findings.Add(finding.Finding{
				File:    "all files",
				Problem: fmt.Sprintf("together they describe %d %s", total.count, total.what),
				Allowed: fmt.Sprintf("at most %d", total.most),
			})
		}
	}
}

// checkRoutes reports every path prefix after its first use.
func (c *collection) checkRoutes() {
	first := map[string]string{}
	for _, j := range c.jobs {
		for _, r := range j.routes {
			prefix := strings.TrimSuffix(r.GetPathPrefix(), "/")
			place, taken := first[prefix]
			if taken && r.table.Has("path") {
				r.table.Report("path", "each path once over all files",
					"path %q of job %q is already routed at %s", r.GetPathPrefix(), j.GetName(), place)
				continue
			}
			first[prefix] = placeOf(r.table, "path")
		}
	}
}

// checkShapes reports jobs of which no worker can hold a single task.
func (c *collection) checkShapes() {
	if len(c.shapes) == 0 {
		return
	}
	for _, j := range c.jobs {
		if !c.fitsSomeShape(j.GetResources()) {
			j.table.Report("", "what one of the worker shapes has: "+c.describeShapes(),
				"one task of job %q, %s, is larger than any worker", j.GetName(), describe(j.GetResources()))
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

func (c *collection) describeShapes() string {
	texts := make([]string, len(c.shapes))
	for i, s := range c.shapes {
		texts[i] = fmt.Sprintf("%s (%s)", s.GetName(), describe(s.GetResources()))
	}
	return strings.Join(texts, ", ")
}

// checkTeams reports jobs of unknown teams and jobs beyond their team's quota.
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
		if need := needAtOnce(j.Job); isSet(quota) && !fits(need, quota) {
			j.table.Report("", fmt.Sprintf("the quota of team %s, %s", j.GetTeam(), describe(quota)),
				"job %q needs %s at once", j.GetName(), describe(need))
		}
	}
}

// isSet reports whether a quota was read without a finding.
func isSet(quota *apiv1.Resources) bool {
	return quota.GetCpuMillis() > 0 && quota.GetMemoryBytes() > 0
}

// needAtOnce returns what must be free at once for the job to be whole: one
// task of a batch job, all tasks of any other.
func needAtOnce(j *apiv1.Job) *apiv1.Resources {
	if j.GetKind() == apiv1.JobKind_JOB_KIND_BATCH {
		return j.GetResources()
	}
	return scale(j.GetResources(), int64(j.GetCount()))
}

// checkQuotaSums reports quotas that together exceed the cell.
func (c *collection) checkQuotaSums() {
	if len(c.shapes) == 0 || len(c.teams) == 0 {
		return
	}
	cell, sum := &apiv1.Resources{}, &apiv1.Resources{}
	for _, s := range c.shapes {
		cell = add(cell, scale(s.GetResources(), s.count))
	}
	for _, t := range c.teams {
		sum = add(sum, t.GetQuota())
	}
	if !fits(sum, cell) {
		last := c.teams[len(c.teams)-1]
		last.table.Report("", "at most what the cell has, "+describe(cell),
			"the quotas of all teams add up to %s", describe(sum))
	}
}

func placeOf(table *tomlfile.Table, key string) string {
	return fmt.Sprintf("%s:%d", table.File(), table.Line(key))
}
