package command

import (
	"context"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// preview is the output of --dry-run.
type preview struct {
	BaseRevision uint64   `json:"base_revision"`
	Changes      []change `json:"changes"`
}

// showPreview shows what publishing next would change in the configuration in force,
// without publishing it.
func (s *session) showPreview(ctx context.Context, client *rpc.Client, next *apiv1.Configuration) error {
	current, err := call(ctx, s, client.Control().GetConfiguration, &apiv1.GetConfigurationRequest{})
	if err != nil {
		return errors.Wrap(err, "read the configuration in force")
	}
	p := preview{BaseRevision: current.GetRevision(), Changes: diffConfigurations(current.GetConfiguration(), next)}
	if s.output == outputJSON {
		return writeJSON(s.environment.Out, p)
	}
	t := &table{header: []string{"BASE", "CHANGE", "WHAT", "NAME"}}
	for _, c := range p.Changes {
		t.add(p.BaseRevision, c.Change, c.What, c.Name)
	}
	if len(p.Changes) == 0 {
		t.add(p.BaseRevision, "none", "", "")
	}
	return t.write(s.environment.Out)
}
