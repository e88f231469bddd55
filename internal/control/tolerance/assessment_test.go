package tolerance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	testSilentAfter = 600 * time.Millisecond
	testMaxBehind   = 500 // entries
)

func testPolicy(targetVoters int) Policy {
	return Policy{TargetVoters: targetVoters, SilentAfter: testSilentAfter, MaxBehind: testMaxBehind}
}

// liveVoters returns voters that answer and are caught up, named a, b, c and so on.
func liveVoters(count int) []Member {
	var voters []Member
	for i := range count {
		voters = append(voters, Member{Name: string(rune('a' + i)), Incarnation: uint64(i + 1)})
	}
	return voters
}

// with returns the voters, the last ones of which are changed.
func with(voters []Member, count int, change func(*Member)) []Member {
	for i := range count {
		change(&voters[len(voters)-1-i])
	}
	return voters
}

func silent(m *Member)         { m.SinceContact = testSilentAfter }
func almostSilent(m *Member)   { m.SinceContact = testSilentAfter - 1 }
func diskLost(m *Member)       { m.SinceContact, m.Replaced = time.Minute, true }
func behind(m *Member)         { m.Behind, m.BehindFor = testMaxBehind+1, testSilentAfter }
func brieflyBehind(m *Member)  { m.Behind, m.BehindFor = testMaxBehind+1, testSilentAfter-1 }
func slightlyBehind(m *Member) { m.Behind, m.BehindFor = testMaxBehind, time.Minute }
func unheard(m *Member)        { m.Unheard = true }

func TestToleratedLosses(t *testing.T) {
	for _, tc := range []struct {
		name                    string
		voters                  []Member
		targetVoters            int
		tolerated, target, live int
	}{
		{"one voter", liveVoters(1), 0, 0, 0, 1},
		{"three voters", liveVoters(3), 0, 1, 1, 3},
		{"five voters", liveVoters(5), 5, 2, 2, 5},
		{"seven voters", liveVoters(7), 0, 3, 3, 7},
		{"five voters, one silent", with(liveVoters(5), 1, silent), 5, 1, 2, 4},
		{"five voters, two silent", with(liveVoters(5), 2, silent), 5, 0, 2, 3},
		{"five voters, three silent", with(liveVoters(5), 3, silent), 5, 0, 2, 2},
		{"five voters, one almost silent", with(liveVoters(5), 1, almostSilent), 5, 2, 2, 5},
		{"five voters, one without its disk", with(liveVoters(5), 1, diskLost), 5, 1, 2, 4},
		{"five voters, one behind", with(liveVoters(5), 1, behind), 5, 1, 2, 4},
		{"five voters, one behind for a moment", with(liveVoters(5), 1, brieflyBehind), 5, 2, 2, 5},
		{"five voters, one slightly behind", with(liveVoters(5), 1, slightlyBehind), 5, 2, 2, 5},
		{"four voters, the successor not promoted", liveVoters(4), 5, 1, 2, 4},
		{"four voters that were five when the cluster was formed", liveVoters(4), 0, 1, 2, 4},
		{"four voters, one silent", with(liveVoters(4), 1, silent), 5, 0, 2, 3},
		{"six voters, the lost one not removed", with(liveVoters(6), 1, silent), 5, 1, 2, 5},
		{"six voters, two silent", with(liveVoters(6), 2, silent), 5, 0, 2, 4},
		{"three voters of five", liveVoters(3), 5, 1, 2, 3},
		{"seven voters of five", liveVoters(7), 5, 3, 2, 7},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			a := Assess(tc.voters, testPolicy(tc.targetVoters))
			is.Equal(a.Tolerated, tc.tolerated)
			is.Equal(a.Target, tc.target)
			is.Equal(a.Live, tc.live)
			is.Equal(a.Voters, len(tc.voters))
			is.Equal(len(a.Missing), len(tc.voters)-tc.live)
			is.Equal(a.IsReduced(), tc.tolerated < tc.target)
		})
	}
}

// The number is the largest one for which every choice of as many live voters leaves a quorum.
func TestToleratedLossesLeaveAQuorum(t *testing.T) {
	for voters := 1; voters <= 9; voters++ {
		for missing := 0; missing <= (voters-1)/2; missing++ {
			t.Run(fmt.Sprintf("%d of %d missing", missing, voters), func(t *testing.T) {
				is := is.New(t)
				a := Assess(with(liveVoters(voters), missing, silent), testPolicy(0))
				is.True(2*(a.Live-a.Tolerated) > voters)
				is.True(2*(a.Live-a.Tolerated-1) <= voters)
			})
		}
	}
}

func TestMissingVotersAreNamedWithTheReason(t *testing.T) {
	is := is.New(t)
	voters := liveVoters(5)
	voters[1].SinceContact = 1240 * time.Millisecond
	voters[2].SinceContact, voters[2].Replaced = 3*time.Second, true
	voters[3].Behind, voters[3].BehindFor = 900, 2*time.Second
	a := Assess(voters, testPolicy(5))
	is.Equal(len(a.Missing), 3)
	for i, want := range []string{"b silent 1.2s", "c disk lost 3s", "d behind 2s"} {
		is.Equal(a.Missing[i].Name+" "+a.Missing[i].String(), want)
	}
}

func TestUnheardVotersAreUndecidedUntilTheyAreSilent(t *testing.T) {
	is := is.New(t)
	is.True(Assess(with(liveVoters(5), 1, unheard), testPolicy(5)).Undecided)
	a := Assess(with(with(liveVoters(5), 1, unheard), 1, silent), testPolicy(5))
	is.True(!a.Undecided)
	is.Equal(a.Tolerated, 1)
}
