package control_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

func (r *rig) announce(id string) error {
	_, err := r.discovery().Announce(r.t.Context(), &apiv1.AnnounceRequest{Endpoint: endpoint(id)})
	return err
}

func (r *rig) renewEndpoint(id string) bool {
	r.t.Helper()
	answer, err := r.discovery().Renew(r.t.Context(), &apiv1.RenewEndpointRequest{Id: id})
	r.is.NoErr(err)
	return answer.GetKnown()
}

func TestEndpointIsRemovedOnceItsLeaseExpired(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	is.NoErr(r.announce("kept"))
	is.NoErr(r.announce("silent"))
	r.clock.Advance(3 * time.Second)
	is.True(r.renewEndpoint("kept"))
	r.clock.Advance(leaseExpiryWait - 3*time.Second)
	r.eventually("the silent endpoint is gone", func() bool {
		_, known := r.store.Endpoint("silent")
		return !known
	})
	is.True(!r.renewEndpoint("silent"))
	is.True(r.renewEndpoint("kept"))
	is.NoErr(r.announce("silent")) // an expired endpoint may come back, unlike a withdrawn one
	is.True(r.renewEndpoint("silent"))
}

func TestNewLeaderWaitsBeforeItExpiresAnEndpoint(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	is.NoErr(r.announce("a"))
	r.clock.Advance(entryLease)
	r.log.becomeFollower()
	r.becomeLeader()
	r.clock.Advance(entryLease) // a lease has passed since the last renewal, but not since the election
	is.True(r.renewEndpoint("a"))
}

func TestWithdrawnEndpointDoesNotComeBack(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	is.NoErr(r.announce("a"))
	for range 2 { // a retry gets the same answer
		answer, err := r.discovery().Withdraw(t.Context(), &apiv1.WithdrawRequest{Id: "a"})
		is.NoErr(err)
		is.Equal(answer.GetQuietAfterMs(), entryLease.Milliseconds())
	}
	is.True(!r.renewEndpoint("a"))
	is.True(r.announce("a") != nil)
	is.Equal(len(r.store.Endpoints("")), 0)
}

func TestRepeatedAnnouncementCommitsNoCommand(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	is.NoErr(r.announce("a"))
	index := r.store.AppliedIndex()
	is.NoErr(r.announce("a"))
	is.Equal(r.store.AppliedIndex(), index)
}

func TestBadAnnouncementIsRefused(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	is.True(r.announce("") != nil)
	_, err := r.discovery().Announce(t.Context(), &apiv1.AnnounceRequest{})
	is.True(err != nil)
}

func TestEndpointDoesNotExpireBeforeItsAnnouncementIsAnswered(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	const instant = time.Millisecond
	is.NoErr(r.announce("old"))
	r.clock.Advance(leaseExpiryWait - instant)
	is.True(r.renewEndpoint("old"))
	r.clock.Advance(instant) // the leader has led for longer than an endpoint's lease
	r.log.setOnApply(func(command *apiv1.Command) {
		if len(command.GetEndpoint().GetAnnounce()) == 0 {
			return
		}
		r.clock.Advance(leaseExpiryWait - instant)
		r.eventually("the old endpoint expires", func() bool {
			_, known := r.store.Endpoint("old")
			return !known
		})
	})
	is.NoErr(r.announce("new"))
	is.True(r.renewEndpoint("new"))
}
