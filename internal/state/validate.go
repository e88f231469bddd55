package state

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Bounds of a configuration.
const (
	maxConfigurationBytes = 3 << 20
	maxJobs               = 20000
	maxTeams              = 1000
	maxShapes             = 1000
	maxTasksPerJob        = 100000
	maxTasks              = 200000 // of all jobs together
	maxRoutesPerJob       = 100
	maxNameBytes          = 128
	maxTextBytes          = 4096
	maxPrefixBytes        = 1024
	maxFindings           = 20 // listed in one error
)

// ErrInvalidConfiguration marks the errors of Validate.
var ErrInvalidConfiguration = errors.New("the configuration is invalid")

// Validate checks the rules for every configuration: bounded sizes, unique names and
// route prefixes, known teams and enum values, and sensible resources, counts and
// times. The error lists up to 20 findings and is marked as ErrInvalidConfiguration.
func Validate(configuration *apiv1.Configuration) error {
	v := &validation{
		teams:    make(map[string]bool),
		prefixes: make(map[string]string),
	}
	v.checkSizes(configuration)
	v.checkTeams(configuration.GetTeams())
	v.checkShapes(configuration.GetShapes())
	v.checkJobs(configuration.GetJobs())
	return v.err()
}

// validation collects the findings about one configuration.
type validation struct {
	teams           map[string]bool   // names of the declared teams
	prefixes        map[string]string // route prefix to job
	findings        []string          // at most maxFindings
	omittedFindings int               // number of findings beyond maxFindings
}

func (v *validation) addf(format string, arguments ...any) {
	if len(v.findings) == maxFindings {
		v.omittedFindings++
		return
	}
	v.findings = append(v.findings, fmt.Sprintf(format, arguments...))
}

func (v *validation) err() error {
	if len(v.findings) == 0 {
		return nil
	}
	text := strings.Join(v.findings, "; ")
	if v.omittedFindings > 0 {
		text = fmt.Sprintf("%s; and %d more", text, v.omittedFindings)
	}
	return errors.Mark(errors.Newf("%s", text), ErrInvalidConfiguration)
}

func (v *validation) checkSizes(configuration *apiv1.Configuration) {
	v.checkMax("configuration bytes", proto.Size(configuration), maxConfigurationBytes)
	v.checkMax("jobs", len(configuration.GetJobs()), maxJobs)
	v.checkMax("teams", len(configuration.GetTeams()), maxTeams)
	v.checkMax("worker shapes", len(configuration.GetShapes()), maxShapes)
}

func (v *validation) checkMax(noun string, count, limit int) {
	if count > limit {
		v.addf("%d %s exceed the bound of %d", count, noun, limit)
	}
}

func (v *validation) checkTeams(teams []*apiv1.Team) {
	for _, team := range teams {
		v.checkName("team", team.GetName())
		if v.teams[team.GetName()] {
			v.addf("team %q is declared twice", team.GetName())
		}
		v.teams[team.GetName()] = true
		v.checkResources(fmt.Sprintf("quota of team %q", team.GetName()), team.GetQuota())
	}
}

func (v *validation) checkShapes(shapes []*apiv1.WorkerShape) {
	seen := make(map[string]bool, len(shapes))
	for _, shape := range shapes {
		v.checkName("worker shape", shape.GetName())
		if seen[shape.GetName()] {
			v.addf("worker shape %q is declared twice", shape.GetName())
		}
		seen[shape.GetName()] = true
		v.checkResources(fmt.Sprintf("worker shape %q", shape.GetName()), shape.GetResources())
	}
}

func (v *validation) checkName(noun, name string) {
	if name == "" {
		v.addf("a %s has no name", noun)
	}
	if len(name) > maxNameBytes {
		v.addf("%s %q has a name longer than %d bytes", noun, name[:maxNameBytes], maxNameBytes)
	}
}

func (v *validation) checkResources(subject string, resources *apiv1.Resources) {
	if resources.GetCpuMillis() < 0 || resources.GetMemoryBytes() < 0 || resources.GetAccelerators() < 0 {
		v.addf("%s has a negative size", subject)
	}
}
