package control

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/bubble"
	"github.com/pistachioport/pistachioport/internal/replica"
)

// twoVoterLog is the log of a leader of two voters, so the membership is checked each time.
type twoVoterLog struct{ replica.Log }

func (twoVoterLog) Status() replica.Status {
	voters := []*apiv1.MemberInfo{{Incarnation: 1, Name: "silent", Address: "127.0.0.1:1"}, {Incarnation: 2, Name: "own", Address: "127.0.0.1:2"}}
	return replica.Status{IsLeader: true, Term: 1, Membership: &apiv1.Membership{Voters: voters}}
}

// silentProcess doesn't answer calls.
type silentProcess struct{ calls atomic.Int64 }

func (p *silentProcess) RoundTrip(request *http.Request) (*http.Response, error) {
	p.calls.Add(1)
	<-request.Context().Done()
	return nil, request.Context().Err()
}

func TestUnansweredProcessesDoNotDelayTheNextCheckOfTheMembership(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		const interval, checks = identifyTimeout, 10
		process := &silentProcess{}
		server := &Server{peers: &peerClients{client: &http.Client{Transport: process}}}
		server.Log, server.Logger, server.RepairInterval = twoVoterLog{}, slog.New(slog.DiscardHandler), interval
		l := &leadership{server: server, term: 1}
		server.leadership.Store(l)
		ctx, cancel := context.WithTimeout(t.Context(), (checks+1)*interval)
		defer cancel()
		is.NoErr(l.repairMembership(ctx))
		const members = 2
		t.Logf("%d checks in %d intervals", process.calls.Load()/members, checks+1)
		is.True(process.calls.Load() >= checks*members)
	})
}
