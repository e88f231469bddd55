package control

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/replica"
)

func TestRemovedVotesAreLogged(t *testing.T) {
	for name, tc := range map[string]struct {
		own  uint64
		want string
	}{
		"on another process":     {1, `"msg":"voter removed","name":"edge-region-a-1","voter":"edge-region-a-5","voters":4`},
		"on the removed process": {5, `"msg":"no longer a member: its vote was removed","name":"edge-region-a-1","voters":4`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var log bytes.Buffer
			m := membershipLog{logger: slog.New(slog.NewJSONHandler(&log, nil)).With("name", "edge-region-a-1")}
			status := replica.Status{ClusterID: "cluster", Incarnation: tc.own, Membership: testMembership(5)}
			m.observe(replica.Status{Incarnation: tc.own})
			m.observe(status)
			m.observe(status)
			is.Equal(log.Len(), 0)
			status.Membership = testMembership(4)
			m.observe(status)
			m.observe(status)
			is.Equal(strings.Count(log.String(), "\n"), 1)
			is.True(strings.Contains(keptPart(log.String()), tc.want))
			is.True(strings.Contains(log.String(), `"level":"WARN"`))
			status.Membership = testMembership(5)
			m.observe(status)
			is.Equal(strings.Count(log.String(), "\n"), 1)
		})
	}
}

func TestProcessThatCatchesUpLogsNoRemovedVotes(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	m := membershipLog{logger: slog.New(slog.NewJSONHandler(&log, nil))}
	for _, voters := range []int{5, 4, 5, 4} {
		m.observe(replica.Status{ClusterID: "cluster", Incarnation: 9, Membership: testMembership(voters)})
	}
	is.Equal(log.Len(), 0)
}

func TestVoterThatALeaderLeavesOutIsLoggedOnceInAWhile(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	logger := slog.New(slog.NewJSONHandler(&log, nil)).With("name", "edge-region-a-1")
	var l lostVoteLog
	now := time.Unix(1_700_000_000, 0)
	status := replica.Status{Membership: testMembership(5), Term: 4, Leader: 2}
	l.log(now, logger, status)
	is.Equal(log.Len(), 0)
	status.Leader = 0
	for range 10 {
		l.log(now, logger, status)
		now = now.Add(time.Second)
	}
	is.Equal(strings.Count(log.String(), "\n"), 2)
	is.True(strings.Contains(keptPart(log.String()), `no longer a member, or cut off`))
}
