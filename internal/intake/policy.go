package intake

import (
	"context"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// PolicyClient calls the policy service, which decides which of the workers may
// run a step.
type PolicyClient interface {
	Advise(ctx context.Context, step string, workers []string) (*apiv1.AdviseResponse, error)
}

// AdvisorServer calls the policy service on behalf of the leader.
type AdvisorServer struct{ Policy PolicyClient }

var _ apiv1.Advisor = AdvisorServer{}

// Advise implements apiv1.Advisor.
func (s AdvisorServer) Advise(ctx context.Context, request *apiv1.AdviseRequest) (*apiv1.AdviseResponse, error) {
	return s.Policy.Advise(ctx, request.GetStep(), request.GetWorkers())
}
