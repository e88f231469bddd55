package repair_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/pistachioport/pistachioport/internal/control/repair"
)

// A voter that was only off for longer than Policy.DeadAfter lost its vote before its successor had one. If as many disks
// as are tolerated were lost then, no majority was left, although the voter came back with its disk.
func TestVoterThatMayHaveItsDiskIsRemovedLast(t *testing.T) {
	type members = []repair.Member
	type peers = []repair.Peer
	offC := members{member("a", 1, 0), member("b", 2, 0), member("c", 3, deadAfter)}
	promoted := append(slices.Clone(offC), member("d", 4, 1))
	cases := []struct {
		name     string
		voters   members
		learners members
		peers    peers
		kind     repair.Kind
		member   uint64 // incarnation
		replaced uint64 // incarnation
	}{
		{"silent voter, learner caught up", offC, members{learner("d", 4, true)}, peers{peerAnswering("c", 0, ""), peerAnswering("d", 4, clusterID)}, repair.ReplaceVoter, 4, 3},
		{"silent voter, learner behind", offC, members{learner("d", 4, false)}, peers{peerAnswering("c", 0, ""), peerAnswering("d", 4, clusterID)}, repair.None, 0, 0},
		{"successor promoted", promoted, nil, peers{peerAnswering("c", 0, ""), peerAnswering("e", 5, "")}, repair.RemoveMember, 3, 0},
		{"successor promoted, new leader has not heard from the silent voter", members{member("a", 1, 0), member("b", 2, 1), unheard("c", 3), member("d", 4, 1)}, nil, peers{peerAnswering("c", 0, "")}, repair.None, 0, 0},
		{"successor promoted, the voter is back", members{member("a", 1, 0), member("b", 2, 1), member("c", 3, 1), member("d", 4, 1)}, nil, peers{peerAnswering("c", 3, clusterID)}, repair.RemoveMember, 4, 0},
		{"successor promoted and leads, the voter is back", members{member("a", 1, 1), member("b", 2, 1), member("c", 3, 1), member("d", 4, 0)}, nil, peers{peerAnswering("c", 3, clusterID)}, repair.RemoveMember, 3, 0},
		{"disk lost", offC, members{learner("c", 9, true)}, peers{peerAnswering("c", 9, clusterID)}, repair.ReplaceVoter, 9, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			view := repair.View{ClusterID: clusterID, Voters: c.voters, Learners: c.learners, Peers: c.peers, Policy: policy}
			view.Policy.TargetVoters = 3
			action := onlyAction(t, view)
			is.Equal(action.Kind, c.kind)
			is.Equal(action.Member.GetIncarnation(), c.member)
			is.Equal(action.Replaced.GetIncarnation(), c.replaced)
		})
	}
}

// diskBudget simulates a cluster of known size that loses as many disks as it tolerates before all voters have their
// disks and their places again. Any number of processes may be off meanwhile.
type diskBudget struct {
	*simulatedCluster
	lost     int      // disks since the cluster was whole
	previous []uint64 // voters before the latest step; nil once that is committed
}

func (b *diskBudget) tolerated() int { return (b.size - 1) / 2 }

// hasDisk reports whether the incarnation's disk exists, whether its process runs or not.
func (b *diskBudget) hasDisk(incarnation uint64) bool {
	return slices.ContainsFunc(b.processes, func(p *process) bool { return p.incarnation == incarnation })
}

// checkDisks checks that a majority of the voters can come back with their disks.
func (b *diskBudget) checkDisks(t *rapid.T, after string) {
	kept := 0
	for _, voters := range [][]uint64{b.previous, b.voters} {
		kept = b.countDisks(voters)
		if 2*kept <= len(voters) && len(voters) > 0 {
			t.Fatalf("after %s, with %d of %d tolerated disks lost: %d of %d voters have their disks", after, b.lost, b.tolerated(), kept, len(voters))
		}
	}
	if kept == b.size && len(b.voters) == b.size && len(b.learners) == 0 && b.previous == nil {
		b.lost = 0
	}
}

func (b *diskBudget) countDisks(voters []uint64) int {
	kept := 0
	for _, voter := range voters {
		if b.hasDisk(voter) {
			kept++
		}
	}
	return kept
}

// commit ends the time in which a majority of the voters before the latest step is needed as well.
func (b *diskBudget) commit(t *rapid.T) {
	if b.hasQuorum() && (b.previous == nil || 2*b.countRunning(b.previous) > len(b.previous)) {
		b.previous = nil
		b.checkDisks(t, "a commit")
	}
}

func (b *diskBudget) loseDiskWithinBudget(t *rapid.T) {
	if b.lost == b.tolerated() {
		return
	}
	b.lost++
	b.loseDisk(b.drawProcess(t))
	b.checkDisks(t, "a lost disk")
}

func (b *diskBudget) step(t *rapid.T) {
	if !b.hasQuorum() || b.previous != nil {
		return
	}
	view := b.view(t)
	view.Policy.TargetVoters = b.size
	actions := repair.Next(view)
	before := slices.Clone(b.voters)
	for _, action := range actions {
		if b.removesRunningVoter(action) && (len(b.voters) <= b.size || b.countRunning(b.voters) < len(b.voters)) {
			t.Fatalf("removed voter %v, which is running and needed", action.Member)
		}
		b.perform(action)
	}
	if n := len(b.voters); n < b.size-1 || n > b.size+1 {
		t.Fatalf("%d voters after %v; the cluster has %d voters", n, actions, b.size)
	}
	if len(actions) > 0 && !b.hasQuorum() {
		t.Fatalf("%v leaves no majority that runs", actions)
	}
	if !slices.Equal(before, b.voters) {
		b.previous = before
	}
	b.checkDisks(t, fmt.Sprint(actions))
}

func TestToleratedLossesOfDisksLeaveAMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &diskBudget{simulatedCluster: newSimulatedCluster(t)}
		t.Repeat(map[string]func(*rapid.T){
			"stop":      func(t *rapid.T) { b.drawProcess(t).up = false },
			"start":     func(t *rapid.T) { b.drawProcess(t).up = true },
			"lose disk": b.loseDiskWithinBudget,
			"step":      b.step,
			"step more": b.step,
			"commit":    b.commit,
		})
		for _, p := range b.processes {
			p.up = true
		}
		const maxSteps = 200 // many steps only wait for a learner to catch up
		for range maxSteps {
			b.step(t)
			b.commit(t)
		}
		if b.countRunning(b.voters) != b.size || len(b.voters) != b.size || len(b.learners) != 0 {
			t.Fatalf("after the repair: voters %v, %d of them running, and learners %v", b.voters, b.countRunning(b.voters), b.learners)
		}
	})
}
