package repair_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control/repair"
)

const (
	lostAfter = 30 * time.Second
	goneAfter = 2 * time.Minute
	cluster   = "cluster"
)

var limits = repair.Policy{UnreachableAfter: lostAfter, DeadAfter: goneAfter}

// member is a process named a to g, in failure domain x, y or z by turns.
func member(name string, incarnation uint64, silent time.Duration) repair.Member {
	return repair.Member{
		Info: &apiv1.MemberInfo{
			Name:          name,
			Incarnation:   incarnation,
			Address:       "127.0.0.1:" + name,
			FailureDomain: domain(name),
		},
		SinceContact: silent,
	}
}

func learner(name string, incarnation uint64, caughtUp bool) repair.Member {
	m := member(name, incarnation, 0)
	m.CaughtUp = caughtUp
	return m
}

func domain(name string) string {
	return []string{"x", "y", "z"}[(name[0]-'a')%3]
}

// answering is a process that answers as the incarnation; 0 is none.
func answering(name string, incarnation uint64, of string) repair.Peer {
	peer := repair.Peer{Name: name, Address: "127.0.0.1:" + name, FailureDomain: domain(name)}
	if incarnation != 0 {
		peer.Identity = &apiv1.IdentifyResponse{Name: name, Incarnation: incarnation, ClusterId: of}
	}
	return peer
}

func TestNext(t *testing.T) {
	type members = []repair.Member
	type peers = []repair.Peer
	healthy := members{member("a", 1, 0), member("b", 2, 0), member("c", 3, 0)}
	lostC := members{member("a", 1, 0), member("b", 2, 0), member("c", 3, lostAfter)}
	goneC := members{member("a", 1, 0), member("b", 2, 0), member("c", 3, goneAfter)}
	pair := members{member("a", 1, 0), member("b", 2, 0)}
	cases := []struct {
		name     string
		voters   members
		learners members
		peers    peers
		kind     repair.Kind
		member   uint64 // incarnation
	}{
		{"all answer", healthy, nil, peers{answering("c", 3, cluster), answering("d", 4, "")}, repair.None, 0},
		{"silent, not long enough", members{member("a", 1, 0), member("b", 2, 0), member("c", 3, lostAfter-1)}, nil, peers{answering("c", 9, "")}, repair.None, 0},
		{"silent, answers as itself", goneC, nil, peers{answering("c", 3, cluster), answering("d", 4, "")}, repair.None, 0},
		{"disk lost", lostC, nil, peers{answering("c", 9, "")}, repair.AddLearner, 9},
		{"disk lost, a spare stands by", lostC, nil, peers{answering("c", 9, ""), answering("d", 4, "")}, repair.AddLearner, 9},
		{"VM away, not long enough", lostC, nil, peers{answering("c", 0, ""), answering("d", 4, "")}, repair.None, 0},
		{"VM gone, a spare stands by", goneC, nil, peers{answering("c", 0, ""), answering("d", 4, "")}, repair.AddLearner, 4},
		{"VM gone, no spare", goneC, nil, peers{answering("c", 0, "")}, repair.None, 0},
		{"spare of another cluster", goneC, nil, peers{answering("d", 4, "other")}, repair.None, 0},
		{"spare under another's name", goneC, nil, peers{{Name: "d", Identity: &apiv1.IdentifyResponse{Name: "e", Incarnation: 4}}}, repair.None, 0},
		{"the best domain of the spares", goneC, nil, peers{answering("d", 4, ""), answering("e", 5, ""), answering("f", 6, "")}, repair.AddLearner, 6},
		{"learner behind", lostC, members{learner("c", 9, false)}, peers{answering("c", 9, cluster)}, repair.None, 0},
		{"learner caught up", lostC, members{learner("c", 9, true)}, peers{answering("c", 9, cluster)}, repair.Remove, 3},
		{"place free", pair, members{learner("c", 9, true)}, peers{answering("c", 9, cluster)}, repair.Promote, 9},
		{"place free, learner behind", pair, members{learner("c", 9, false)}, peers{answering("c", 9, cluster)}, repair.None, 0},
		{"place free, no learner", pair, nil, peers{answering("c", 9, "")}, repair.AddLearner, 9},
		{"place free, old process back", pair, nil, peers{answering("c", 3, cluster)}, repair.AddLearner, 3},
		{"learner lost its disk as well", lostC, members{member("c", 9, lostAfter)}, peers{answering("c", 10, "")}, repair.Remove, 9},
		{"voter came back meanwhile", healthy, members{learner("d", 4, true)}, peers{answering("c", 3, cluster), answering("d", 4, cluster)}, repair.Remove, 4},
		{"learner silent", lostC, members{func() repair.Member {
			m := learner("c", 9, true)
			m.SinceContact = lostAfter
			return m
		}()}, peers{answering("c", 9, cluster)}, repair.None, 0},
		{"no majority answers", members{member("a", 1, 0), member("b", 2, lostAfter), member("c", 3, lostAfter)}, nil, peers{answering("b", 8, ""), answering("c", 9, "")}, repair.None, 0},
		{"two of five lost, a learner caught up", members{member("a", 1, 0), member("b", 2, 0), member("c", 3, 0), member("d", 4, lostAfter), member("e", 5, lostAfter)}, members{learner("e", 9, true)}, peers{answering("d", 8, ""), answering("e", 9, cluster)}, repair.Remove, 5},
		{"two of five lost, one place free", members{member("a", 1, 0), member("b", 2, 0), member("c", 3, 0), member("d", 4, lostAfter)}, members{learner("e", 9, true)}, peers{answering("d", 8, ""), answering("e", 9, cluster)}, repair.Promote, 9},
		{"one voter alone", members{member("a", 1, 0)}, nil, peers{answering("b", 2, "")}, repair.None, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			action := repair.Next(repair.View{
				ClusterID: cluster,
				Voters:    c.voters,
				Learners:  c.learners,
				Peers:     c.peers,
				Policy:    limits,
			})
			is.Equal(action.Kind, c.kind)
			is.Equal(action.Member.GetIncarnation(), c.member)
		})
	}
}
