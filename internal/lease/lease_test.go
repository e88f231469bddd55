package lease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/lease"
)

const (
	length = 4 * time.Second
	drift  = 0.05
)

func TestHolderLeaseStartsAtRenewalSend(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_700_000_000, 0))
	holder := lease.NewHolder(c)
	is.True(!holder.Valid()) // a new holder has no lease

	sent := holder.SendTime()
	c.Advance(3 * time.Second) // the answer is delayed
	holder.Extend(sent, length)
	is.Equal(holder.Remaining(), time.Second)
	c.Advance(time.Second)
	is.True(!holder.Valid())
}

func TestHolderLeaseExpiresDuringVMSuspension(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_700_000_000, 0))
	holder := lease.NewHolder(c)
	holder.Extend(holder.SendTime(), length)
	c.Suspend(length)
	is.True(!holder.Valid())
}

func TestHolderIgnoresLateAnswerToOlderRenewal(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_700_000_000, 0))
	holder := lease.NewHolder(c)
	first := holder.SendTime()
	c.Advance(time.Second)
	second := holder.SendTime()
	holder.Extend(second, length)
	holder.Extend(first, length)
	is.Equal(holder.Remaining(), length)
}

func TestGranterWaitsForPredecessorLeases(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_700_000_000, 0))
	granter := lease.NewGranter(c, length, drift)
	c.Advance(length)
	is.True(!granter.Expired("worker-1")) // the drift allowance has not passed
	c.StepWall(time.Hour)
	is.True(!granter.Expired("worker-1")) // a wall clock step doesn't count as elapsed time
	c.Advance(200 * time.Millisecond)
	is.True(granter.Expired("worker-1"))
	is.True(granter.PredecessorLeasesExpired())
}

func TestGranterRefusesRenewalDuringExpiry(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_700_000_000, 0))
	granter := lease.NewGranter(c, length, drift)
	is.True(granter.GrantRenewal("worker-1"))
	is.True(!granter.BeginExpiry("worker-1")) // the lease has not expired
	c.Advance(length + 200*time.Millisecond)
	is.True(granter.BeginExpiry("worker-1"))
	is.True(!granter.BeginExpiry("worker-1")) // an expiry has already begun
	is.True(!granter.GrantRenewal("worker-1"))
	granter.EndExpiry("worker-1")
	is.True(granter.GrantRenewal("worker-1"))
	is.True(!granter.Expired("worker-1"))
}
