package control_test

import (
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

func (r *rig) awaitForce(revision uint64) *apiv1.AwaitForceResponse {
	r.t.Helper()
	answer, err := r.control().AwaitForce(r.t.Context(), &apiv1.AwaitForceRequest{Revision: revision})
	r.is.NoErr(err)
	return answer
}

func (r *rig) renew(session string, known uint64) *apiv1.RenewEntryResponse {
	r.t.Helper()
	answer, err := r.entries().Renew(r.t.Context(), renewal(session, known))
	r.is.NoErr(err)
	return answer
}

func TestRevisionIsInForceOnceEveryLiveEntryReportedIt(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	r.expireEarlierLeases()
	r.renew("s1", 0)
	r.renew("s2", 0)
	revision := r.publish(0, "plans")
	is.Equal(r.awaitForce(revision).GetWaitingFor(), []string{"entry-s1", "entry-s2"})
	r.renew("s1", revision)
	is.Equal(r.awaitForce(revision).GetWaitingFor(), []string{"entry-s2"})
	r.renew("s2", revision)
	is.True(r.awaitForce(revision).GetInForce())
}

func TestRevisionIsInForceOnceTheLeaseOfASilentEntryExpired(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	r.expireEarlierLeases()
	r.renew("s1", 0)
	revision := r.publish(0, "plans")
	r.clock.Advance(entryLease)
	is.True(!r.awaitForce(revision).GetInForce()) // the drift allowance has not passed
	r.clock.Advance(leaseExpiryWait - entryLease)
	r.eventually("in force", func() bool { return r.awaitForce(revision).GetInForce() })
}

func TestNewLeaderWaitsOutLeasesOfEarlierTerms(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	revision := r.publish(0, "plans")
	is.True(!r.awaitForce(revision).GetInForce())
	r.expireEarlierLeases()
	is.True(r.awaitForce(revision).GetInForce())

	r.log.becomeFollower()
	r.becomeLeader()
	is.True(!r.awaitForce(revision).GetInForce())
	r.expireEarlierLeases()
	is.True(r.awaitForce(revision).GetInForce())
}

func TestAwaitingARevisionThatDoesNotExistIsRefused(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	_, err := r.control().AwaitForce(t.Context(), &apiv1.AwaitForceRequest{Revision: 9})
	is.True(err != nil)
}
