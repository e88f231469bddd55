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

func TestEndpointIsRemovedOnceItsLeaseRanOut(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.lead()
	is.NoErr(r.announce("kept"))
	is.NoErr(r.announce("silent"))
	r.clock.Advance(3 * time.Second)
	is.True(r.renewEndpoint("kept"))
	r.clock.Advance(leaseWait - 3*time.Second)
	r.eventually("the silent endpoint is gone", func() bool {
		_, known := r.store.Endpoint("silent")
		return !known
	})
	is.True(!r.renewEndpoint("silent"))
	is.True(r.renewEndpoint("kept"))
	is.NoErr(r.announce("silent")) // the system only supposed it dead
	is.True(r.renewEndpoint("silent"))
}

func TestNewLeaderWaitsBeforeItExpiresAnEndpoint(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.lead()
	is.NoErr(r.announce("a"))
	r.clock.Advance(entryLease)
	r.log.follow()
	r.lead()
	r.clock.Advance(entryLease) // long after the last answer, but not after the election
	is.True(r.renewEndpoint("a"))
}

func TestWithdrawnEndpointDoesNotComeBack(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.lead()
	is.NoErr(r.announce("a"))
	for range 2 { // a resend gives the same answer
		answer, err := r.discovery().Withdraw(t.Context(), &apiv1.WithdrawRequest{Id: "a"})
		is.NoErr(err)
		is.Equal(answer.GetQuietAfterMs(), entryLease.Milliseconds())
	}
	is.True(!r.renewEndpoint("a"))
	is.True(r.announce("a") != nil)
	is.Equal(len(r.store.Endpoints("")), 0)
}

func TestRepeatedAnnouncementIsNotLogged(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.lead()
	is.NoErr(r.announce("a"))
	index := r.store.Applied()
	is.NoErr(r.announce("a"))
	is.Equal(r.store.Applied(), index)
}

func TestBadAnnouncementIsRefused(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.lead()
	is.True(r.announce("") != nil)
	_, err := r.discovery().Announce(t.Context(), &apiv1.AnnounceRequest{})
	is.True(err != nil)
}

func TestEndpointDoesNotExpireBeforeItsAnnouncementIsAnswered(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.lead()
	const moment = time.Millisecond
	is.NoErr(r.announce("old"))
	r.clock.Advance(leaseWait - moment)
	is.True(r.renewEndpoint("old"))
	r.clock.Advance(moment) // the leader has led for longer than a lease
	r.log.onApplied(func(command *apiv1.Command) {
		if len(command.GetEndpoint().GetAnnounce()) == 0 {
			return
		}
		r.clock.Advance(leaseWait - moment)
		r.eventually("the old endpoint expires", func() bool {
			_, known := r.store.Endpoint("old")
			return !known
		})
	})
	is.NoErr(r.announce("new"))
	is.True(r.renewEndpoint("new"))
}
