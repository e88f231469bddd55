package control_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

func TestRenewalReturnsTheFullStateFirstAndThenChanges(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	first := r.publish(0, "plans")
	_, err := r.discovery().Announce(t.Context(), &apiv1.AnnounceRequest{Endpoint: endpoint("a")})
	is.NoErr(err)

	answer, err := r.entries().Renew(t.Context(), renewal("s", 0))
	is.NoErr(err)
	is.Equal(answer.GetLeaseMs(), entryLease.Milliseconds())
	is.True(answer.GetConfigurationChanged())
	is.Equal(answer.GetConfigurationRevision(), first)
	is.Equal(answer.GetConfiguration().GetJobs()[0].GetRoutes()[0].GetPathPrefix(), "/plans")
	is.True(answer.GetEndpointsReset())
	is.Equal(len(answer.GetEndpoints()), 1)

	_, err = r.discovery().Withdraw(t.Context(), &apiv1.WithdrawRequest{Id: "a"})
	is.NoErr(err)
	answer, err = r.entries().Renew(t.Context(), renewal("s", answer.GetRevision()))
	is.NoErr(err)
	is.True(!answer.GetConfigurationChanged())
	is.True(!answer.GetEndpointsReset())
	is.Equal(answer.GetGoneEndpoints(), []string{"a"})
}

func TestWaitingRenewalIsAnsweredUponAChange(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	r.publish(0, "plans")
	first, err := r.entries().Renew(t.Context(), renewal("s", 0))
	is.NoErr(err)

	answers := make(chan *apiv1.RenewEntryResponse, 1)
	go func() {
		for {
			request := renewal("s", first.GetRevision())
			request.WaitMs = 1000
			answer, err := r.entries().Renew(context.Background(), request)
			if err != nil || answer.GetConfigurationChanged() {
				answers <- answer
				return
			}
		}
	}()
	second := r.publish(first.GetConfigurationRevision(), "orders")
	select {
	case answer := <-answers:
		is.Equal(answer.GetConfigurationRevision(), second)
	case <-time.After(eventuallyTimeout):
		t.Fatal("the renewal was not answered")
	}
}

func TestRenewalIsAnsweredOnlyAfterAReadIndexRound(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	release := r.log.blockBarriers()
	before := r.log.barrierCount()
	answered := make(chan error, 1)
	go func() {
		_, err := r.entries().Renew(context.Background(), renewal("s", 0))
		answered <- err
	}()
	r.eventually("a round begins", func() bool { return r.log.barrierCount() > before })
	select {
	case <-answered:
		t.Fatal("answered before the round ended")
	default:
	}
	r.log.becomeFollower()
	release()
	err := <-answered
	var refusal twirp.Error
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Meta("leader"), otherLeader)
}

// A renewal whose round is aborted by the end of the leadership names the next leader,
// like one whose round ends by itself.
func TestRenewalNamesTheNextLeaderWhenItsRoundIsAborted(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	release := r.log.blockBarriers()
	defer release()
	answered := make(chan error, 1)
	go func() {
		_, err := r.entries().Renew(context.Background(), renewal("s", 0))
		answered <- err
	}()
	before := r.log.barrierCount()
	r.eventually("a round begins", func() bool { return r.log.barrierCount() >= max(1, before) })
	r.log.becomeFollower()
	err := <-answered
	var refusal twirp.Error
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Meta("leader"), otherLeader)
}
