package repair_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control/repair"
)

const (
	unreachableAfter = 30 * time.Second
	deadAfter        = 2 * time.Minute
	clusterID        = "cluster"
)

var policy = repair.Policy{UnreachableAfter: unreachableAfter, DeadAfter: deadAfter}

// member returns a member named a to g, in the failure domain of that name.
func member(name string, incarnation uint64, sinceContact time.Duration) repair.Member {
	return repair.Member{
		Info: &apiv1.MemberInfo{
			Name:          name,
			Incarnation:   incarnation,
			Address:       "127.0.0.1:" + name,
			FailureDomain: failureDomain(name),
		},
		SinceContact: sinceContact,
	}
}

// learner returns a reachable learner.
func learner(name string, incarnation uint64, caughtUp bool) repair.Member {
	m := member(name, incarnation, 0)
	m.CaughtUp = caughtUp
	return m
}

// unheard returns a voter that has not answered the leader since the start of its term.
func unheard(name string, incarnation uint64) repair.Member {
	m := member(name, incarnation, 0)
	m.Unheard = true
	return m
}

// failureDomain distributes the names over the domains x, y and z in turn.
func failureDomain(name string) string {
	return []string{"x", "y", "z"}[(name[0]-'a')%3]
}

// peerAnswering returns a process of the given cluster that answers with the
// incarnation, or one that does not answer if that is 0.
func peerAnswering(name string, incarnation uint64, cluster string) repair.Peer {
	peer := repair.Peer{Name: name, Address: "127.0.0.1:" + name, FailureDomain: failureDomain(name)}
	if incarnation != 0 {
		peer.Identity = &apiv1.IdentifyResponse{Name: name, Incarnation: incarnation, ClusterId: cluster}
	}
	return peer
}

// onlyAction returns the next step, which is at most one action; None if there is nothing to do.
func onlyAction(t *testing.T, view repair.View) repair.Action {
	t.Helper()
	actions := repair.Next(view)
	switch len(actions) {
	case 0:
		return repair.Action{}
	case 1:
		return actions[0]
	}
	t.Fatalf("several actions: %v", actions)
	return repair.Action{}
}

func TestNext(t *testing.T) {
	type members = []repair.Member
	type peers = []repair.Peer
	healthy := members{member("a", 1, 0), member("b", 2, 0), member("c", 3, 0)}
	unreachableC := members{member("a", 1, 0), member("b", 2, 0), member("c", 3, unreachableAfter)}
	deadC := members{member("a", 1, 0), member("b", 2, 0), member("c", 3, deadAfter)}
	twoVoters := members{member("a", 1, 0), member("b", 2, 0)}
	cases := []struct {
		name     string
		voters   members
		learners members
		peers    peers
		kind     repair.Kind
		member   uint64 // incarnation
		replaced uint64 // incarnation
	}{
		{"all voters answer", healthy, nil, peers{peerAnswering("c", 3, clusterID), peerAnswering("d", 4, "")}, repair.None, 0, 0},
		{"no contact, not yet unreachable", members{member("a", 1, 0), member("b", 2, 0), member("c", 3, unreachableAfter-1)}, nil, peers{peerAnswering("c", 9, "")}, repair.None, 0, 0},
		{"no contact, but answers as the same incarnation", deadC, nil, peers{peerAnswering("c", 3, clusterID), peerAnswering("d", 4, "")}, repair.None, 0, 0},
		{"disk lost", unreachableC, nil, peers{peerAnswering("c", 9, "")}, repair.AddLearner, 9, 0},
		{"disk lost, a spare is available", unreachableC, nil, peers{peerAnswering("c", 9, ""), peerAnswering("d", 4, "")}, repair.AddLearner, 9, 0},
		{"VM unreachable, not yet dead", unreachableC, nil, peers{peerAnswering("c", 0, ""), peerAnswering("d", 4, "")}, repair.None, 0, 0},
		{"VM dead, a spare is available", deadC, nil, peers{peerAnswering("c", 0, ""), peerAnswering("d", 4, "")}, repair.AddLearner, 4, 0},
		{"VM dead, no spare", deadC, nil, peers{peerAnswering("c", 0, "")}, repair.None, 0, 0},
		{"spare of another cluster", deadC, nil, peers{peerAnswering("d", 4, "other")}, repair.None, 0, 0},
		{"spare answers under another name", deadC, nil, peers{{Name: "d", Identity: &apiv1.IdentifyResponse{Name: "e", Incarnation: 4}}}, repair.None, 0, 0},
		{"spare in the best failure domain", deadC, nil, peers{peerAnswering("d", 4, ""), peerAnswering("e", 5, ""), peerAnswering("f", 6, "")}, repair.AddLearner, 6, 0},
		{"learner behind", unreachableC, members{learner("c", 9, false)}, peers{peerAnswering("c", 9, clusterID)}, repair.None, 0, 0},
		{"learner caught up", unreachableC, members{learner("c", 9, true)}, peers{peerAnswering("c", 9, clusterID)}, repair.ReplaceVoter, 9, 3},
		{"vacancy", twoVoters, members{learner("c", 9, true)}, peers{peerAnswering("c", 9, clusterID)}, repair.PromoteLearner, 9, 0},
		{"vacancy, learner behind", twoVoters, members{learner("c", 9, false)}, peers{peerAnswering("c", 9, clusterID)}, repair.None, 0, 0},
		{"vacancy, no learner", twoVoters, nil, peers{peerAnswering("c", 9, "")}, repair.AddLearner, 9, 0},
		{"vacancy, removed incarnation is back", twoVoters, nil, peers{peerAnswering("c", 3, clusterID)}, repair.AddLearner, 3, 0},
		{"learner lost its disk as well", unreachableC, members{member("c", 9, unreachableAfter)}, peers{peerAnswering("c", 10, "")}, repair.RemoveMember, 9, 0},
		{"voter is back before it was replaced", healthy, members{learner("d", 4, true)}, peers{peerAnswering("c", 3, clusterID), peerAnswering("d", 4, clusterID)}, repair.RemoveMember, 4, 0},
		{"new leader has not heard from the lost voter", members{member("a", 1, 0), member("b", 2, 0), unheard("c", 3)}, members{learner("c", 9, true)}, peers{peerAnswering("c", 9, clusterID)}, repair.None, 0, 0},
		{"learner unreachable", unreachableC, members{func() repair.Member {
			m := learner("c", 9, true)
			m.SinceContact = unreachableAfter
			return m
		}()}, peers{peerAnswering("c", 9, clusterID)}, repair.None, 0, 0},
		{"no majority answers", members{member("a", 1, 0), member("b", 2, unreachableAfter), member("c", 3, unreachableAfter)}, nil, peers{peerAnswering("b", 8, ""), peerAnswering("c", 9, "")}, repair.None, 0, 0},
		{"two of five lost, a learner caught up", members{member("a", 1, 0), member("b", 2, 0), member("c", 3, 0), member("d", 4, unreachableAfter), member("e", 5, unreachableAfter)}, members{learner("e", 9, true)}, peers{peerAnswering("d", 8, ""), peerAnswering("e", 9, clusterID)}, repair.ReplaceVoter, 9, 5},
		{"two of five lost, one vacancy", members{member("a", 1, 0), member("b", 2, 0), member("c", 3, 0), member("d", 4, unreachableAfter)}, members{learner("e", 9, true)}, peers{peerAnswering("d", 8, ""), peerAnswering("e", 9, clusterID)}, repair.PromoteLearner, 9, 0},
		{"single voter", members{member("a", 1, 0)}, nil, peers{peerAnswering("b", 2, "")}, repair.None, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			action := onlyAction(t, repair.View{
				ClusterID: clusterID,
				Voters:    c.voters,
				Learners:  c.learners,
				Peers:     c.peers,
				Policy:    policy,
			})
			is.Equal(action.Kind, c.kind)
			is.Equal(action.Member.GetIncarnation(), c.member)
			is.Equal(action.Replaced.GetIncarnation(), c.replaced)
		})
	}
}
