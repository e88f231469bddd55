package command

import (
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

func newRequestCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "request KEY",
		Short: "Shows what became of a non-idempotent request, without its body",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return s.withClient(func(client *rpc.Client) error {
				response, err := call(command.Context(), s, client.Claims().Lookup, &apiv1.LookupRequest{Key: arguments[0]})
				if err != nil {
					return err
				}
				if !response.GetFound() {
					return twirp.NotFoundError("key " + arguments[0] + " was never claimed, or its retention time is over")
				}
				return s.showRequest(response)
			})
		},
	}
}

func (s *session) showRequest(response *apiv1.LookupResponse) error {
	state := response.GetState()
	if state == nil {
		return errors.New("the cell answered without the request's state")
	}
	redactAnswer(state)
	t := &table{header: []string{"KEY", "SERVICE", "OUTCOME", "HTTP STATUS", "TAKEN", "SETTLED", "ENTRY SESSION"}}
	t.add(state.GetKey(), state.GetService(), outcomeText(response), state.GetAnswer().GetStatus(),
		timeText(state.GetTakenUnixMs()), timeText(state.GetSettledUnixMs()), state.GetEntry())
	return s.show(response, t)
}

// redactAnswer removes the body and the headers of the kept answer, which only the
// caller may see.
func redactAnswer(state *apiv1.ClaimState) {
	if state.GetAnswer() == nil {
		return
	}
	state.Answer = &apiv1.KeptAnswer{Status: state.GetAnswer().GetStatus(), Truncated: state.GetAnswer().GetTruncated()}
}

func outcomeText(response *apiv1.LookupResponse) string {
	switch {
	case response.GetState().GetSettled():
		return enumText(response.GetState().GetOutcome(), "OUTCOME_")
	case response.GetHolderGone():
		return "unknown"
	default:
		return "in flight"
	}
}
