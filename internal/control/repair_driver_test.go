package control_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control"
	"github.com/pistachioport/pistachioport/internal/control/repair"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/state"
)

// fakePeer answers Identify with a fixed response.
type fakePeer struct {
	apiv1.Peer
	answer *apiv1.IdentifyResponse
}

func (f *fakePeer) Identify(context.Context, *apiv1.IdentifyRequest) (*apiv1.IdentifyResponse, error) {
	return f.answer, nil
}

// startPeer starts a process that identifies itself by the name and incarnation, and
// returns its address.
func startPeer(t *testing.T, name string, incarnation uint64) string {
	t.Helper()
	peer := &fakePeer{answer: &apiv1.IdentifyResponse{Name: name, Incarnation: incarnation}}
	server := httptest.NewServer(apiv1.NewPeerServer(peer))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestLeaderReplacesAVoterWhoseDiskWasLost(t *testing.T) {
	is := is.New(t)
	const old, replacement = 3, 9
	addresses := map[string]string{
		"control-1": startPeer(t, "control-1", 1),
		"control-2": startPeer(t, "control-2", 2),
		"control-3": startPeer(t, "control-3", replacement),
	}
	r := newRig(t, func(config *control.Config) {
		config.RepairPolicy = repair.Policy{UnreachableAfter: 30 * time.Second, DeadAfter: time.Minute}
		config.RepairInterval = time.Millisecond
		for name, address := range addresses {
			config.Peers = append(config.Peers, control.Peer{Name: name, Address: address})
		}
	})
	loseDisk(r, addresses, old, replacement)
	r.becomeLeader()
	r.eventually("the voter is replaced", func() bool {
		membership := r.log.Status().Membership
		return len(membership.GetVoters()) == 3 && membership.GetVoters()[2].GetIncarnation() == replacement
	})
	is.Equal(r.log.membershipChanges(), []string{"add control-3", "remove control-3", "promote control-3"})
	r.eventually("the changes are in the audit trail", func() bool {
		return len(r.store.AuditRecords(0, "control-3", 0)) == 3
	})
	is.Equal(r.store.AuditRecords(0, "control-3", 0)[1].GetAction(), state.ActionMemberRemove)
}

// A process that doesn't answer delayed every step of a repair by the timeout of its
// identification, so that the next loss of disks came before the repair was over.
func TestRepairDoesNotWaitForBusyMembers(t *testing.T) {
	is := is.New(t)
	const old, replacement = 3, 9
	busy := &busyPeer{}
	server := httptest.NewServer(apiv1.NewPeerServer(busy))
	t.Cleanup(server.Close)
	addresses := map[string]string{
		"control-1": server.Listener.Addr().String(),
		"control-2": server.Listener.Addr().String(),
		"control-3": startPeer(t, "control-3", replacement),
	}
	r := newRig(t, func(config *control.Config) {
		config.Name = "control-1"
		config.RepairPolicy = repair.Policy{UnreachableAfter: 30 * time.Second, DeadAfter: time.Minute}
		config.RepairInterval = time.Millisecond
		for name, address := range addresses {
			config.Peers = append(config.Peers, control.Peer{Name: name, Address: address})
		}
	})
	loseDisk(r, addresses, old, replacement)
	r.becomeLeader()
	r.eventually("the voter is replaced", func() bool { return len(r.log.membershipChanges()) == 3 })
	is.Equal(r.log.membershipChanges(), []string{"add control-3", "remove control-3", "promote control-3"})
	is.Equal(busy.calls.Load(), int64(0))
}

// The audit record of each step was committed before the next step began, also while the vacancy that a removal leaves was
// open.
func TestRepairDoesNotWaitForTheAuditTrail(t *testing.T) {
	is := is.New(t)
	const old, replacement = 3, 9
	addresses := map[string]string{
		"control-1": startPeer(t, "control-1", 1),
		"control-2": startPeer(t, "control-2", 2),
		"control-3": startPeer(t, "control-3", replacement),
	}
	r := newRig(t, func(config *control.Config) {
		config.RepairPolicy = repair.Policy{UnreachableAfter: 30 * time.Second, DeadAfter: time.Minute}
		config.RepairInterval = time.Millisecond
	})
	loseDisk(r, addresses, old, replacement)
	committed := make(chan struct{})
	commit := sync.OnceFunc(func() { close(committed) })
	t.Cleanup(commit)
	r.log.setOnApply(func(command *apiv1.Command) {
		if command.GetAudit() != nil {
			<-committed
		}
	})
	r.becomeLeader()
	r.eventually("the voter is replaced", func() bool { return len(r.log.membershipChanges()) == 3 })
	commit()
	r.eventually("the changes are in the audit trail", func() bool {
		return len(r.store.AuditRecords(0, "control-3", 0)) == 3
	})
	for i, action := range []string{state.ActionMemberAdd, state.ActionMemberRemove, state.ActionMemberPromote} {
		is.Equal(r.store.AuditRecords(0, "control-3", 0)[i].GetAction(), action)
	}
}

// busyPeer doesn't answer before its caller has given up.
type busyPeer struct {
	apiv1.Peer
	calls atomic.Int64
}

func (b *busyPeer) Identify(ctx context.Context, _ *apiv1.IdentifyRequest) (*apiv1.IdentifyResponse, error) {
	b.calls.Add(1)
	<-ctx.Done()
	return nil, ctx.Err()
}

// loseDisk makes control-3, known as the incarnation old, silent; its process answers as
// the replacement.
func loseDisk(r *rig, addresses map[string]string, old, replacement uint64) {
	r.log.update(func() {
		membership := &apiv1.Membership{}
		for i, name := range []string{"control-1", "control-2", "control-3"} {
			membership.Voters = append(membership.Voters, &apiv1.MemberInfo{Incarnation: uint64(i + 1), Name: name, Address: addresses[name]})
		}
		r.log.status.Membership = membership
		r.log.status.CommitIndex = 10
		r.log.status.Progress = map[uint64]replica.Progress{
			2:           {MatchIndex: 10},
			old:         {MatchIndex: 5, SinceContact: 40 * time.Second},
			replacement: {MatchIndex: 10},
		}
	})
}
