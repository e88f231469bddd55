package control_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control"
	"github.com/pistachioport/pistachioport/internal/dispatch"
	"github.com/pistachioport/pistachioport/internal/state/jobs"
)

// TestAppliedCatalogIsAcknowledgedWithoutALeader resends catalogs to a process that does
// not lead, as an operator does whose acknowledgement was lost.
func TestAppliedCatalogIsAcknowledgedWithoutALeader(t *testing.T) {
	table := jobs.New()
	table.Apply(0, &apiv1.JobsCommand{Catalog: &apiv1.Catalog{Version: 7}})
	r := newRig(t, func(config *control.Config) { config.Dispatch = &dispatch.Config{Table: table} })
	cases := []struct {
		name         string
		version      uint64
		acknowledged bool
	}{
		{"the version in force", 7, true},
		{"an older version", 3, true},
		{"a newer version", 8, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := r.server.PublishCatalog(t.Context(), &apiv1.Catalog{Version: c.version})
			is.Equal(err == nil, c.acknowledged)
			is.Equal(errors.Is(err, control.ErrNotLeader), !c.acknowledged)
		})
	}
}
