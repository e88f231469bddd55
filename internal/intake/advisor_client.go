package intake

import (
	"context"
	"net/http"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// AdvisorClient is the leader's way to the entries that ask the policy service.
type AdvisorClient struct {
	HTTP  *http.Client
	Local PolicyClient // used while no entry is known
}

// Advise asks through the entry at the address; "": from here.
func (c AdvisorClient) Advise(ctx context.Context, address, step string, workers []string) (*apiv1.AdviseResponse, error) {
	if address == "" {
		return c.Local.Advise(ctx, step, workers)
	}
	return apiv1.NewAdvisorProtobufClient("http://"+address, c.HTTP).
		Advise(ctx, &apiv1.AdviseRequest{Step: step, Workers: workers})
}
