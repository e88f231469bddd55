package intake

import (
	"context"
	"net/http"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// AdvisorClient lets the leader call the policy service through the entries. It
// implements dispatch.Advisor.
type AdvisorClient struct {
	HTTP  *http.Client
	Local PolicyClient // calls the policy service from this process
}

// Advise calls the policy service through the entry at the address, or with Local
// if the address is empty.
func (c AdvisorClient) Advise(ctx context.Context, address, step string, workers []string) (*apiv1.AdviseResponse, error) {
	if address == "" {
		return c.Local.Advise(ctx, step, workers)
	}
	return apiv1.NewAdvisorProtobufClient("http://"+address, c.HTTP).
		Advise(ctx, &apiv1.AdviseRequest{Step: step, Workers: workers})
}
