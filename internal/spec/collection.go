package spec

import (
	"cmp"
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/finding"
	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

// collection holds what has been read so far: each part of the configuration with the
// table that it was read from, for findings.
type collection struct {
	findings *finding.List
	jobs     []*parsedJob
	teams    []*parsedTeam
	shapes   []*parsedShape
}

// parsedJob is a job with the table that it was read from.
type parsedJob struct {
	*apiv1.Job
	table  *tomlfile.Table
	routes []*parsedRoute
}

type parsedRoute struct {
	*apiv1.Route
	table *tomlfile.Table
}

type parsedTeam struct {
	*apiv1.Team
	table *tomlfile.Table
}

type parsedShape struct {
	*apiv1.WorkerShape
	count int64 // workers of this shape in the cell
	table *tomlfile.Table
}

func newCollection(findings *finding.List) *collection {
	return &collection{findings: findings}
}

// addFile reads one file's top-level table and adds its content.
func (c *collection) addFile(table *tomlfile.Table, source string) {
	for _, t := range table.Tables("job") {
		c.jobs = append(c.jobs, readJob(t, source))
	}
	for _, t := range table.Tables("team") {
		c.teams = append(c.teams, readTeam(t))
	}
	for _, t := range table.Tables("worker_shape") {
		c.shapes = append(c.shapes, readShape(t))
	}
	table.ReportUnknownKeys()
}

// configuration returns the parts as one configuration in canonical order, which
// state.Canonical gives too: sorted by name, with sorted routes and methods.
func (c *collection) configuration() *apiv1.Configuration {
	configuration := &apiv1.Configuration{}
	for _, j := range c.jobs {
		sortRoutes(j.GetRoutes())
		configuration.Jobs = append(configuration.Jobs, j.Job)
	}
	for _, t := range c.teams {
		configuration.Teams = append(configuration.Teams, t.Team)
	}
	for _, s := range c.shapes {
		configuration.Shapes = append(configuration.Shapes, s.WorkerShape)
	}
	sortByName(configuration.GetJobs())
	sortByName(configuration.GetTeams())
	sortByName(configuration.GetShapes())
	return configuration
}

// sortRoutes sorts routes by path prefix, and the methods of each route.
func sortRoutes(routes []*apiv1.Route) {
	slices.SortFunc(routes, func(a, b *apiv1.Route) int {
		return cmp.Compare(a.GetPathPrefix(), b.GetPathPrefix())
	})
	for _, r := range routes {
		slices.Sort(r.GetMethods())
	}
}

// named is a part of a configuration that has a name.
type named interface{ GetName() string }

func sortByName[T named](parts []T) {
	slices.SortFunc(parts, func(a, b T) int {
		return cmp.Compare(a.GetName(), b.GetName())
	})
}
