package replica_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
)

func TestFormationIsChecked(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, nil)
	ctx := context.Background()
	first, second := c.nodes[0], c.nodes[1]
	is.True(first.replica.Form(ctx, "", []*apiv1.MemberInfo{first.info()}) != nil)
	is.True(first.replica.Form(ctx, "a", []*apiv1.MemberInfo{second.info()}) != nil) // does not list this member
	is.True(first.replica.Form(ctx, "a", []*apiv1.MemberInfo{first.info(), first.info()}) != nil)
	is.Equal(first.replica.Status().ClusterID, "")

	is.NoErr(first.replica.Form(ctx, "a", []*apiv1.MemberInfo{first.info()}))
	is.NoErr(first.replica.Form(ctx, "a", []*apiv1.MemberInfo{first.info()})) // a repeated call has no effect
	err := first.replica.Form(ctx, "b", []*apiv1.MemberInfo{first.info()})
	is.True(errors.Is(err, replica.ErrAlreadyFormed))
}

// TestFormationOfAMinorityElectsNoLeader forms only one of three members. The other
// two, whose data folders are empty, must not vote for it.
func TestFormationOfAMinorityElectsNoLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, nil)
	voters := []*apiv1.MemberInfo{c.nodes[0].info(), c.nodes[1].info(), c.nodes[2].info()}
	is.NoErr(c.nodes[0].replica.Form(context.Background(), "cluster-a", voters))
	eventually(t, "several campaigns", func() bool {
		return c.nodes[0].counter("replica.messages.sent") >= 8
	})
	is.Equal(c.nodes[0].replica.Status().Leader, uint64(0))
	for _, n := range c.nodes[1:] {
		is.Equal(n.replica.Status().ClusterID, "")
		is.Equal(n.replica.Status().Term, uint64(0))
	}
	// Forming the second member makes a majority. The third joins when the leader
	// contacts it.
	is.NoErr(c.nodes[1].replica.Form(context.Background(), "cluster-a", voters))
	c.write("together")
	c.awaitAgreement(c.nodes...)
	is.Equal(c.nodes[2].replica.Status().ClusterID, "cluster-a")
}

func TestPeerRefusesAnotherCluster(t *testing.T) {
	is := is.New(t)
	c := newFormedCluster(t, 1, nil)
	peer := apiv1.NewPeerProtobufClient("http://"+c.nodes[0].config.Address, http.DefaultClient)
	for _, id := range []string{"", "cluster-b"} {
		_, err := peer.Step(context.Background(), &apiv1.StepRequest{ClusterId: id})
		is.True(err != nil)
	}
	identity, err := peer.Identify(context.Background(), &apiv1.IdentifyRequest{})
	is.NoErr(err)
	is.Equal(identity.GetClusterId(), "cluster-a")
	is.Equal(identity.GetIncarnation(), c.nodes[0].replica.Status().Incarnation)
}
