package state_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/state"
)

func TestValidateFindings(t *testing.T) {
	cases := []struct {
		name   string
		change func(c *apiv1.Configuration)
		want   string
	}{
		{"duplicate job", func(c *apiv1.Configuration) { c.Jobs[1].Name = "a"; c.Jobs[1].Routes = nil }, `job "a" is declared twice`},
		{"job without a name", func(c *apiv1.Configuration) { c.Jobs[0].Name = "" }, "a job has no name"},
		{"long name", func(c *apiv1.Configuration) { c.Jobs[0].Name = strings.Repeat("x", 129) }, "longer than 128 bytes"},
		{"unknown team", func(c *apiv1.Configuration) { c.Jobs[0].Team = "nobody" }, `team "nobody", which does not exist`},
		{"duplicate team", func(c *apiv1.Configuration) { c.Teams = append(c.Teams, c.Teams[0]) }, `team "team" is declared twice`},
		{"duplicate shape", func(c *apiv1.Configuration) {
			c.Shapes = []*apiv1.WorkerShape{{Name: "s"}, {Name: "s"}}
		}, `worker shape "s" is declared twice`},
		{"negative memory", func(c *apiv1.Configuration) { c.Jobs[0].Resources = &apiv1.Resources{MemoryBytes: -1} }, "negative size"},
		{"negative quota", func(c *apiv1.Configuration) { c.Teams[0].Quota = &apiv1.Resources{CpuMillis: -1} }, "negative size"},
		{"no tasks", func(c *apiv1.Configuration) { c.Jobs[0].Count = 0 }, "count 0"},
		{"too many tasks", func(c *apiv1.Configuration) { c.Jobs[0].Count = 100001 }, "exceed the bound"},
		{"no kind", func(c *apiv1.Configuration) { c.Jobs[0].Kind = 0 }, "no known kind"},
		{"unknown class", func(c *apiv1.Configuration) { c.Jobs[0].Class = 77 }, "no known class"},
		{"unknown spread", func(c *apiv1.Configuration) { c.Jobs[0].Spread = 77 }, "no known spread"},
		{"deadline before release", func(c *apiv1.Configuration) {
			c.Jobs[0].ReleaseUnixMs, c.Jobs[0].DeadlineUnixMs = 10, 5
		}, "deadline before its release"},
		{"negative time", func(c *apiv1.Configuration) { c.Jobs[0].ExpectedRunMs = -1 }, "negative time"},
		{"route taken", func(c *apiv1.Configuration) { c.Jobs[1].Routes[0].PathPrefix = "/a" }, `is taken by job "a"`},
		{"relative route", func(c *apiv1.Configuration) { c.Jobs[0].Routes[0].PathPrefix = "a" }, "does not begin with"},
		{"routes of a batch job", func(c *apiv1.Configuration) { c.Jobs[0].Kind = apiv1.JobKind_JOB_KIND_BATCH }, "is no service"},
		{"huge text", func(c *apiv1.Configuration) { c.Jobs[0].Command = strings.Repeat("x", 5000) }, "exceed the bound"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			broken := configuration("a", "b")
			is.NoErr(state.Validate(broken))
			c.change(broken)
			err := state.Validate(broken)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // the error names the finding
			store := state.New(state.Options{})
			result := store.Apply(1, publish(0, "ana", broken))
			is.Equal(result.GetRefusalCode(), string(state.RefusalInvalid))
			is.Equal(store.Revision(), uint64(0))
			is.Equal(store.AuditRecords(0, "", 0)[0].GetOutcome(), state.OutcomeRefused)
		})
	}
}

func TestValidateLimitsFindings(t *testing.T) {
	is := is.New(t)
	broken := configuration()
	for i := range 1000 {
		broken.Jobs = append(broken.Jobs, &apiv1.Job{Name: fmt.Sprintf("job-%d", i)})
	}
	is.True(len(state.Validate(broken).Error()) < 4096)
}

func TestDigestDoesNotDependOnOrder(t *testing.T) {
	is := is.New(t)
	first, err := state.Digest(configuration("a", "b", "c"))
	is.NoErr(err)
	second, err := state.Digest(configuration("c", "a", "b"))
	is.NoErr(err)
	is.Equal(first, second)
	other, err := state.Digest(configuration("a", "b"))
	is.NoErr(err)
	is.True(first != other)
}

func TestEndpointBounds(t *testing.T) {
	cases := []struct {
		name   string
		change func(e *apiv1.Endpoint)
	}{
		{"no id", func(e *apiv1.Endpoint) { e.Id = "" }},
		{"long id", func(e *apiv1.Endpoint) { e.Id = strings.Repeat("x", 129) }},
		{"no service", func(e *apiv1.Endpoint) { e.Service = "" }},
		{"address without a port", func(e *apiv1.Endpoint) { e.Address = "127.0.0.1" }},
		{"port zero", func(e *apiv1.Endpoint) { e.Address = "127.0.0.1:0" }},
		{"port too large", func(e *apiv1.Endpoint) { e.Address = "127.0.0.1:70000" }},
		{"no slots", func(e *apiv1.Endpoint) { e.Slots = 0 }},
		{"too many connections", func(e *apiv1.Endpoint) { e.Connections = 10001 }},
		{"long rack", func(e *apiv1.Endpoint) { e.Location = &apiv1.Location{Rack: strings.Repeat("x", 129)} }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			broken := endpoint("a", 8)
			is.NoErr(state.ValidateEndpoint(broken))
			c.change(broken)
			is.True(state.ValidateEndpoint(broken) != nil)
			store := state.New(state.Options{})
			result := store.Apply(1, announce(broken))
			is.Equal(result.GetEndpoint().GetRefused()[0].GetCode(), string(state.RefusalInvalid))
			is.Equal(len(store.Endpoints("")), 0)
		})
	}
}
