package spec

import (
	"fmt"
	"regexp"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

// Bounds of a job's values.
const (
	maxTasksPerJob     = 10000
	maxFailures        = 1000
	maxRunTime         = 90 * 24 * time.Hour
	maxCommandBytes    = 4 << 10
	maxGenerationBytes = 128
	maxRoutesPerJob    = 100
)

const (
	kindService = "service"
	kindBatch   = "batch"
	kindGang    = "gang"
)

var kinds = map[string]apiv1.JobKind{
	kindService: apiv1.JobKind_JOB_KIND_SERVICE,
	kindBatch:   apiv1.JobKind_JOB_KIND_BATCH,
	kindGang:    apiv1.JobKind_JOB_KIND_GANG,
}

var classes = map[string]apiv1.Class{
	"urgent": apiv1.Class_CLASS_URGENT,
	"normal": apiv1.Class_CLASS_NORMAL,
	"bulk":   apiv1.Class_CLASS_BULK,
}

var spreads = map[string]apiv1.Spread{
	"none":           apiv1.Spread_SPREAD_UNSPECIFIED,
	"rack":           apiv1.Spread_SPREAD_RACK,
	"failure-domain": apiv1.Spread_SPREAD_FAILURE_DOMAIN,
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const allowedNames = "1 to 63 lower-case letters, digits and hyphens, with a letter or digit at both ends"

// readName reads a required name.
func readName(table *tomlfile.Table, key string) string {
	table.Require(key, allowedNames)
	name := table.String(key, "")
	if table.Has(key) && !namePattern.MatchString(name) {
		table.Report(key, allowedNames, "%s = %q is no valid name", table.KeyPath(key), name)
	}
	return name
}

// readJob reads and checks a table [[job]]. The source is the file's name in the
// configuration.
func readJob(table *tomlfile.Table, source string) *parsedJob {
	table.Require("kind", "service, batch, gang")
	j := &parsedJob{
		table: table,
		Job: &apiv1.Job{
			Name:           readName(table, "name"),
			Team:           readName(table, "team"),
			Kind:           kinds[table.Choice("kind", "", kindService, kindBatch, kindGang)],
			Class:          readClass(table),
			Resources:      readResources(table),
			Count:          int32(table.Int("count", 1, 1, maxTasksPerJob)), //nolint:gosec // bounded above
			ReleaseUnixMs:  toUnixMillis(table.Time("release")),
			DeadlineUnixMs: toUnixMillis(table.Time("deadline")),
			ExpectedRunMs:  table.Duration("expected_run", 0, time.Second, maxRunTime).Milliseconds(),
			Spread:         spreads[table.Choice("spread", "none", "none", "rack", "failure-domain")],
			NonIdempotent:  table.Bool("non_idempotent", false),
			Checkpoint:     table.Bool("checkpoint", false),
			Command:        readText(table, "command", maxCommandBytes),
			MaxFailures:    int32(table.Int("max_failures", 0, 1, maxFailures)), //nolint:gosec // bounded above
			Source:         source,
			Generation:     readText(table, "generation", maxGenerationBytes),
		},
	}
	for _, t := range table.Tables("routes") {
		r := readRoute(t, j.GetClass())
		j.routes = append(j.routes, r)
		j.Routes = append(j.Routes, r.Route)
	}
	if len(j.routes) > maxRoutesPerJob {
		table.Report("routes", fmt.Sprintf("at most %d", maxRoutesPerJob), "job %q has %d routes", j.GetName(), len(j.routes))
	}
	table.ReportUnknownKeys()
	checkJob(j)
	return j
}

func readClass(table *tomlfile.Table) apiv1.Class {
	return classes[table.Choice("class", "normal", "urgent", "normal", "bulk")]
}

// readText reads a string of at most limit bytes.
func readText(table *tomlfile.Table, key string, limit int) string {
	text := table.String(key, "")
	if len(text) > limit {
		table.Report(key, "", "%s has %d bytes; the limit is %d", table.KeyPath(key), len(text), limit)
	}
	return text
}

// toUnixMillis returns Unix time in milliseconds, or 0 for the zero time.
func toUnixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
