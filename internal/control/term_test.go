package control_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/state"
)

func TestRenewalOfAnEarlierTermIsNotAnsweredInALaterOne(t *testing.T) {
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
	r.log.becomeFollower()
	r.log.becomeLeader() // the same process leads again, in a new term
	release()
	is.Equal(twirpCode(<-answered), twirp.Unavailable)
}

func TestCommandOfUnknownOutcomeIsAnsweredAsUnavailable(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	r.log.failProposals(replica.ErrIndeterminate)
	_, err := r.control().Publish(t.Context(), publication(0, "plans"))
	is.Equal(twirpCode(err), twirp.Unavailable)
	_, err = r.claims().Change(t.Context(), &apiv1.ClaimBatch{Changes: []*apiv1.ClaimChange{takeClaim("k", "s")}})
	is.Equal(twirpCode(err), twirp.Unavailable)
	r.log.failProposals(nil)
	result, err := r.control().Publish(t.Context(), publication(0, "plans"))
	is.NoErr(err) // a retry
	is.Equal(result.GetResult().GetStatus(), apiv1.PublishResult_STATUS_APPLIED)
}

func TestLeaderStoresTheClusterID(t *testing.T) {
	r := newRig(t)
	r.becomeLeader()
	r.eventually("the identity is in the state", func() bool { return r.store.ClusterID() == "cluster" })
	is.New(t).Equal(r.store.AuditRecords(0, "cluster", 0)[0].GetAction(), state.ActionForm)
}

func TestEntriesAreListedAsLongAsTheirLeaseMayRun(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	r.renew("s", 0)
	list := func() []*apiv1.EntryStatus {
		answer, err := r.control().ListEntries(t.Context(), &apiv1.ListEntriesRequest{})
		is.NoErr(err)
		return answer.GetEntries()
	}
	is.Equal(len(list()), 1)
	is.Equal(list()[0].GetLeaseLeftMs(), leaseExpiryWait.Milliseconds())
	r.clock.Advance(leaseExpiryWait)
	r.eventually("the entry is no longer listed", func() bool { return len(list()) == 0 })
}

func TestEntryOfAnotherClusterIsRefused(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	_, err := r.entries().Renew(t.Context(), renewal("s", 99))
	is.Equal(twirpCode(err), twirp.FailedPrecondition)
}
