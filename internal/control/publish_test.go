package control_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

func TestOneOfManyPublicationsOnOneBaseWins(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	const operators = 8
	results := make([]*apiv1.PublishResult, operators)
	var calls sync.WaitGroup
	for i := range operators {
		calls.Go(func() {
			request := publication(0, fmt.Sprintf("service-%d", i))
			request.Operator = fmt.Sprintf("operator-%d", i)
			response, err := r.control().Publish(t.Context(), request)
			if err == nil {
				results[i] = response.GetResult()
			}
		})
	}
	calls.Wait()
	winners := 0
	for i, result := range results {
		if result.GetStatus() == apiv1.PublishResult_STATUS_APPLIED {
			winners++
			continue
		}
		is.Equal(result.GetStatus(), apiv1.PublishResult_STATUS_CONFLICT)
		is.True(result.GetWinner() != fmt.Sprintf("operator-%d", i))
	}
	is.Equal(winners, 1)
	audit, err := r.control().ListAudit(t.Context(), &apiv1.ListAuditRequest{Object: "configuration"})
	is.NoErr(err)
	is.Equal(len(audit.GetRecords()), operators)
}

func TestInvalidPublicationIsRefusedAndAudited(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	request := publication(0, "plans")
	request.Configuration.Teams = nil
	_, err := r.control().Publish(t.Context(), request)
	var refusal twirp.Error
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Code(), twirp.InvalidArgument)
	audit, err := r.control().ListAudit(t.Context(), &apiv1.ListAuditRequest{Object: "configuration"})
	is.NoErr(err)
	is.Equal(len(audit.GetRecords()), 1)
	is.Equal(audit.GetRecords()[0].GetOutcome(), "refused")
	is.Equal(audit.GetRecords()[0].GetActor(), "ana")
}

func TestProcessThatDoesNotLeadNamesTheLeader(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.log.becomeFollower()
	_, err := r.control().Publish(t.Context(), publication(0, "plans"))
	var refusal twirp.Error
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Code(), twirp.Unavailable)
	is.Equal(refusal.Meta("leader"), otherLeader)
	status, err := r.control().ClusterStatus(t.Context(), &apiv1.ClusterStatusRequest{})
	is.NoErr(err) // any process answers with its own view
	is.Equal(status.GetAnsweredBy(), "control-1")
}

func TestShutdownTransfersLeadership(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	r.stop()
	is.Equal(r.log.leadershipTransfers, 1)
}
