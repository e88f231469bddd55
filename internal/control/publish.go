package control

import (
	"context"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/state"
)

// controlService serves the operators.
type controlService struct {
	*Server
}

var _ apiv1.Control = controlService{}

// Publish puts a configuration in force if its base revision is current. The
// digest is computed here instead of being trusted from the caller.
func (s controlService) Publish(ctx context.Context, request *apiv1.PublishRequest) (*apiv1.PublishResponse, error) {
	if _, err := s.currentLeadership(); err != nil {
		return nil, err
	}
	configuration := state.Canonical(request.GetConfiguration())
	if err := state.Validate(configuration); err != nil {
		return nil, s.rejectPublication(ctx, request, err)
	}
	digest, err := state.Digest(configuration)
	if err != nil {
		return nil, s.rejectPublication(ctx, request, err)
	}
	command := &apiv1.PublishCommand{
		BaseRevision:  request.GetBaseRevision(),
		Configuration: configuration,
		Operator:      request.GetOperator(),
		Digest:        digest,
	}
	result, err := s.propose(ctx, &apiv1.Command{Body: &apiv1.Command_Publish{Publish: command}})
	if err != nil {
		return nil, err
	}
	if result.GetRefusalCode() != "" {
		return nil, invalidConfiguration(result.GetRefusal())
	}
	return &apiv1.PublishResponse{Result: result.GetPublish()}, nil
}

// rejectPublication records the refusal in the audit trail and returns the error to
// answer with.
func (s controlService) rejectPublication(ctx context.Context, request *apiv1.PublishRequest, cause error) error {
	err := s.recordAudit(ctx, &apiv1.AuditRecord{
		Actor:        request.GetOperator(),
		Action:       state.ActionPublish,
		Object:       state.ObjectConfiguration,
		BaseRevision: request.GetBaseRevision(),
		Outcome:      state.OutcomeRefused,
		Detail:       cause.Error(),
	})
	if err != nil {
		return err
	}
	return invalidConfiguration(cause.Error())
}

func invalidConfiguration(text string) error {
	return twirp.InvalidArgumentError("configuration", text)
}

func (s *Server) recordAudit(ctx context.Context, records ...*apiv1.AuditRecord) error {
	command := &apiv1.AuditCommand{Records: records}
	_, err := s.propose(ctx, &apiv1.Command{Body: &apiv1.Command_Audit{Audit: command}})
	return err
}

// GetConfiguration returns the configuration in force.
func (s controlService) GetConfiguration(
	ctx context.Context, _ *apiv1.GetConfigurationRequest,
) (*apiv1.GetConfigurationResponse, error) {
	if _, err := s.confirmedLeadership(ctx); err != nil {
		return nil, err
	}
	configuration, publication := s.Store.Configuration()
	return &apiv1.GetConfigurationResponse{
		Revision:        publication.GetRevision(),
		Configuration:   configuration,
		Operator:        publication.GetOperator(),
		Digest:          publication.GetDigest(),
		PublishedUnixMs: publication.GetUnixMs(),
	}, nil
}
