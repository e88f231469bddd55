package state_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/state"
)

// beyondRetention is more publications, endpoint changes or audit records than the
// store keeps.
const beyondRetention = 20000

func TestEndpointsSinceResetsBeyondKeptHistory(t *testing.T) {
	is := is.New(t)
	store := state.New(state.Options{})
	store.Apply(1, announce(endpoint("kept", 1)))
	behind := store.Revision()
	store.Apply(2, announce(endpoint("gone", 1)))
	store.Apply(3, expire("gone", store.Revision()))
	is.Equal(store.EndpointsSince(behind).Removed, []string{"gone"})
	for i := range beyondRetention {
		store.Apply(uint64(4+i), announce(endpoint("busy", 1+i%2)))
	}
	delta := store.EndpointsSince(behind)
	is.True(delta.Reset)
	is.Equal(len(delta.Changed), 2)
	is.True(!store.EndpointsSince(store.Revision() - 1).Reset)
}

func TestResendOfDroppedPublicationIsAConflict(t *testing.T) {
	is := is.New(t)
	store := state.New(state.Options{})
	first := publish(0, "ana", configuration("first"))
	store.Apply(1, first)
	for i := range beyondRetention {
		c := configuration("a")
		c.Jobs[0].Generation = fmt.Sprint(i)
		result := store.Apply(uint64(2+i), publish(store.ConfigurationRevision(), "bo", c)).GetPublish()
		is.Equal(result.GetStatus(), apiv1.PublishResult_STATUS_APPLIED)
	}
	result := store.Apply(beyondRetention+2, first).GetPublish()
	is.Equal(result.GetStatus(), apiv1.PublishResult_STATUS_CONFLICT)
	is.Equal(result.GetWinner(), "bo")
	is.Equal(result.GetCurrentRevision(), store.ConfigurationRevision())
}

func TestWithdrawnIDIsRefusedForAnHourOfReplicatedTime(t *testing.T) {
	is := is.New(t)
	const hour = 60 * 60 * 1000
	store := state.New(state.Options{})
	applyAt := func(now int64, command *apiv1.Command) *apiv1.CommandResult {
		command.LeaderUnixMs = now
		return store.Apply(store.AppliedIndex()+1, command)
	}
	applyAt(0, withdraw("a")) // arrives before the announcement
	refused := applyAt(hour, announce(endpoint("a", 1))).GetEndpoint().GetRefused()
	is.Equal(refused[0].GetCode(), string(state.RefusalWithdrawn))
	is.Equal(len(applyAt(hour+1, announce(endpoint("a", 1))).GetEndpoint().GetRefused()), 0)
}

func TestAuditKeepsPublicationsDespiteEndpointChurn(t *testing.T) {
	is := is.New(t)
	store := state.New(state.Options{})
	store.Apply(1, publish(0, "ana", configuration("plans")))
	for i := range beyondRetention {
		store.Apply(uint64(2+i), announce(endpoint("busy", 1+i%2)))
	}
	records := store.AuditRecords(0, "plans", 0)
	is.Equal(len(records), 1)
	is.Equal(records[0].GetActor(), "ana")
	is.Equal(records[0].GetChanged(), []string{"plans", "team"})
	all := store.AuditRecords(0, "", beyondRetention)
	is.True(len(all) < beyondRetention)
	is.Equal(all[len(all)-1].GetAction(), state.ActionAnnounce)
}

func TestAuditListsByTimeObjectAndLimit(t *testing.T) {
	is := is.New(t)
	store := state.New(state.Options{})
	for i := range 10 {
		command := announce(endpoint(fmt.Sprintf("e%d", i%2), 1+i))
		command.LeaderUnixMs = int64(100 * i)
		store.Apply(uint64(i+1), command)
	}
	is.Equal(len(store.AuditRecords(500, "", 0)), 5)
	is.Equal(len(store.AuditRecords(500, "e1", 0)), 3)
	last := store.AuditRecords(0, "", 2)
	is.Equal(len(last), 2)
	is.Equal(last[1].GetUnixMs(), int64(900)) // the newest record comes last
}
