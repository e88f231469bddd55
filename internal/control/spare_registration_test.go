package control_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control"
	"github.com/pistachioport/pistachioport/internal/control/repair"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// A process that takes the place of a lost voter must reach the leader although the lost
// one is among the addresses that it was given, and although its own log may still say that
// it is a voter. Otherwise it is not known as a spare when it is needed.
func TestSpareRegistersWhileAVoterIsLost(t *testing.T) {
	for name, membership := range map[string]*apiv1.Membership{
		"a new process": nil,
		"a voter that was replaced while cut off": {Voters: []*apiv1.MemberInfo{{Incarnation: 1, Name: "control-9"}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			silent, err := net.Listen("tcp", "127.0.0.1:0") // connections are made, and nothing answers
			is.NoErr(err)
			t.Cleanup(func() { _ = silent.Close() })
			lost := silent.Addr().String()

			leader := newDispatchRig(t)
			leader.server.RepairPolicy = repair.Policy{UnreachableAfter: 30 * time.Second, DeadAfter: time.Minute}
			leader.log.update(func() {
				leader.log.status.CommitIndex = 10
				leader.log.status.Membership = &apiv1.Membership{Voters: []*apiv1.MemberInfo{
					{Incarnation: 1, Name: "control-1", Address: strings.TrimPrefix(leader.url, "http://")},
					{Incarnation: 2, Name: "control-2", Address: "127.0.0.1:2"},
					{Incarnation: 3, Name: "control-3", Address: lost},
				}}
				leader.log.status.Progress = map[uint64]replica.Progress{2: {MatchIndex: 10}, 3: {MatchIndex: 5, SinceContact: time.Hour}}
			})
			leader.becomeLeader()

			spare := newRig(t, func(config *control.Config) {
				config.Name, config.Address = "control-9", startPeer(t, "control-9", 9)
			})
			spare.log.update(func() { spare.log.status.Membership = membership })
			client := rpc.NewClient(rpc.Options{Addresses: []string{lost, strings.TrimPrefix(leader.url, "http://")}})
			t.Cleanup(client.Close)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				spare.server.RegisterAsSpare(ctx, client, "")
			}()
			t.Cleanup(func() { cancel(); <-ended })

			leader.eventually("the spare becomes a learner", func() bool { return len(leader.log.membershipChanges()) > 0 })
			is.Equal(leader.log.membershipChanges()[0], "add control-9")
		})
	}
}
