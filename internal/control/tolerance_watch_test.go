package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control/repair"
	"github.com/pistachioport/pistachioport/internal/replica"
)

const (
	keptLineLength   = 200 // characters of a line that collectors keep
	testCommit       = 10_000
	testVoterPattern = "edge-region-a-%d"
)

// watchRig observes statuses of a leader of five voters on a clock of its own.
type watchRig struct {
	now      time.Time
	status   replica.Status
	registry metrics.Registry
	server   *Server
	watch    *toleranceWatch
	log      bytes.Buffer
}

func newWatchRig() *watchRig {
	r := &watchRig{now: time.Unix(1_700_000_000, 0), registry: metrics.NewRegistry()}
	r.status = replica.Status{
		IsLeader: true, Term: 3, Incarnation: 1, CommitIndex: testCommit, Membership: testMembership(5),
		Progress: make(map[uint64]replica.Progress),
	}
	for id := uint64(2); id <= 5; id++ {
		r.status.Progress[id] = replica.Progress{MatchIndex: testCommit}
	}
	r.server = &Server{Config: Config{
		Logger:       slog.New(slog.NewJSONHandler(&r.log, nil)).With("name", "edge-region-a-1"),
		RepairPolicy: repair.Policy{UnreachableAfter: 600 * time.Millisecond, TargetVoters: 5},
	}}
	r.server.toleranceGauges = newToleranceGauges(r.registry)
	r.watch = newToleranceWatch(r.server, r.status.Term)
	return r
}

func testMembership(voters int) *apiv1.Membership {
	membership := &apiv1.Membership{}
	for i := range voters {
		membership.Voters = append(membership.Voters, &apiv1.MemberInfo{Incarnation: uint64(i + 1), Name: fmt.Sprintf(testVoterPattern, i+1)})
	}
	return membership
}

// observe observes the status for the given time; the silence of silent voters grows with it.
func (r *watchRig) observe(length time.Duration) {
	for range length / toleranceInterval {
		r.now = r.now.Add(toleranceInterval)
		for id, progress := range r.status.Progress {
			if progress.SinceContact > 0 {
				progress.SinceContact += toleranceInterval
				r.status.Progress[id] = progress
			}
		}
		r.watch.observe(r.now, r.status)
	}
}

func (r *watchRig) silence(id uint64) {
	r.status.Progress[id] = replica.Progress{MatchIndex: testCommit, SinceContact: time.Nanosecond}
}

// takeLines returns the lines that were logged since the last call.
func (r *watchRig) takeLines() []string {
	lines := strings.Split(strings.TrimSpace(r.log.String()), "\n")
	r.log.Reset()
	if lines[0] == "" {
		return nil
	}
	return lines
}

// keptPart returns the part of a line that collectors keep.
func keptPart(line string) string { return line[:min(len(line), keptLineLength)] }

func (r *watchRig) gauge(name string) int64 { return r.registry.Get(name).(metrics.Gauge).Value() }

func TestCalmLeadershipLogsItsToleranceOnce(t *testing.T) {
	is := is.New(t)
	r := newWatchRig()
	r.observe(time.Hour)
	lines := r.takeLines()
	is.Equal(len(lines), 1)
	is.True(strings.Contains(lines[0], `"level":"INFO","msg":"tolerance full"`))
	is.Equal(r.gauge("control.tolerated_losses"), int64(2))
	is.Equal(r.gauge("control.tolerated_losses.target"), int64(2))
	is.Equal(r.gauge("control.tolerated_losses.reduced_ms"), int64(0))
}

func TestMissingVotersAreLoggedWithinTheKeptLength(t *testing.T) {
	is := is.New(t)
	r := newWatchRig()
	r.observe(time.Second)
	r.takeLines()
	r.silence(3)
	r.observe(time.Second)
	lines := r.takeLines()
	is.Equal(len(lines), 1)
	is.True(strings.Contains(lines[0], `"level":"WARN","msg":"tolerance reduced"`))
	is.True(strings.Contains(keptPart(lines[0]), `"tolerated":1,"target":2,"voters":5,"live":4,"missing":"edge-region-a-3"`))

	r.silence(4)
	r.watch.markReplaced(4)
	r.observe(time.Second)
	lines = r.takeLines()
	is.Equal(len(lines), 1)
	is.True(strings.Contains(keptPart(lines[0]), `"tolerated":0,"target":2,"voters":5,"live":3,"missing":"edge-region-a-3 edge-region-a-4"`))
	var fields map[string]any
	is.NoErr(json.Unmarshal([]byte(lines[0]), &fields))
	is.Equal(fields["why"], "silent 1.6s, disk lost 600ms")
	is.Equal(r.gauge("control.tolerated_losses"), int64(0))
}

func TestToleranceIsFullAgainAfterAReplacement(t *testing.T) {
	is := is.New(t)
	r := newWatchRig()
	r.observe(time.Second)
	r.silence(5)
	r.observe(2 * time.Second)
	is.True(r.gauge("control.tolerated_losses.reduced_ms") >= 1_000)
	r.takeLines()
	learner := &apiv1.MemberInfo{Incarnation: 9, Name: "edge-region-a-9"}
	r.status.Membership.Learners = []*apiv1.MemberInfo{learner}
	r.observe(time.Second)
	is.Equal(r.gauge("control.tolerated_losses"), int64(1)) // a learner has no vote
	r.status.Progress[9] = replica.Progress{MatchIndex: testCommit}
	r.status.Membership = testMembership(4)
	r.status.Membership.Voters = append(r.status.Membership.Voters, learner)
	r.observe(2 * time.Second)
	lines := r.takeLines()
	is.Equal(len(lines), 1)
	is.True(strings.Contains(lines[0], `"level":"INFO","msg":"tolerance full"`))
	is.Equal(r.gauge("control.tolerated_losses.reduced_ms"), int64(0))
}

// replaceTwo replaces the voters 4 and 5 by 8 and 9 in an entry that is not committed.
func (r *watchRig) replaceTwo() {
	r.status.Previous = r.status.Membership
	r.status.Membership = testMembership(3)
	for id := uint64(8); id <= 9; id++ {
		r.status.Progress[id] = replica.Progress{MatchIndex: testCommit}
		r.status.Membership.Voters = append(r.status.Membership.Voters, &apiv1.MemberInfo{Incarnation: id, Name: fmt.Sprintf(testVoterPattern, id)})
	}
}

// The replaced voters are needed until their replacement is committed. The tolerance was full from its append on.
func TestToleranceIsReducedUntilAReplacementIsCommitted(t *testing.T) {
	is := is.New(t)
	r := newWatchRig()
	r.observe(time.Second)
	r.silence(4)
	r.silence(5)
	r.observe(2 * time.Second)
	is.Equal(r.gauge("control.tolerated_losses"), int64(0))
	r.takeLines()

	r.replaceTwo()
	r.observe(2 * time.Second)
	is.Equal(r.gauge("control.tolerated_losses"), int64(0))
	is.Equal(len(r.takeLines()), 0) // "tolerance full"

	r.status.Previous = nil
	r.observe(2 * time.Second)
	lines := r.takeLines()
	is.Equal(len(lines), 1)
	is.True(strings.Contains(lines[0], `"level":"INFO","msg":"tolerance full"`))
	is.Equal(r.gauge("control.tolerated_losses"), int64(2))
}

// A new leader that had not heard the departing voters took the tolerance for full.
func TestToleranceIsUndecidedUntilDepartingVotersAreHeard(t *testing.T) {
	is := is.New(t)
	r := newWatchRig()
	r.replaceTwo()
	for id := uint64(4); id <= 5; id++ {
		r.status.Progress[id] = replica.Progress{SinceContact: time.Nanosecond}
	}
	r.observe(400 * time.Millisecond)
	is.Equal(r.gauge("control.tolerated_losses"), int64(toleranceUnknown))
	r.observe(2 * time.Second)
	is.Equal(r.gauge("control.tolerated_losses"), int64(0))
}

// Neither majority bears a loss, and that of the voters before is missing.
func TestMajorityInMoreDangerIsLogged(t *testing.T) {
	is := is.New(t)
	r := newWatchRig()
	r.replaceTwo()
	for id := uint64(3); id <= 5; id++ {
		r.silence(id)
	}
	r.silence(9)
	r.observe(2 * time.Second)
	lines := r.takeLines()
	is.True(strings.Contains(keptPart(lines[len(lines)-1]), `"voters":5,"live":2,"missing":"edge-region-a-3 edge-region-a-4`))
}

func TestVoterThatStaysBehindIsMissing(t *testing.T) {
	is := is.New(t)
	r := newWatchRig()
	r.observe(time.Second)
	r.takeLines()
	r.status.Progress[2] = replica.Progress{MatchIndex: testCommit - maxLearnerLag - 1}
	r.observe(400 * time.Millisecond)
	is.Equal(len(r.takeLines()), 0)
	r.observe(time.Second)
	lines := r.takeLines()
	is.Equal(len(lines), 1)
	is.True(strings.Contains(lines[0], `"why":"behind 600ms"`))
}

func TestGaugesAreUnknownWithoutLeadership(t *testing.T) {
	is := is.New(t)
	r := newWatchRig()
	unknown := func() {
		for _, name := range []string{"control.tolerated_losses", "control.tolerated_losses.target", "control.tolerated_losses.reduced_ms"} {
			is.Equal(r.gauge(name), int64(toleranceUnknown))
		}
	}
	unknown()
	r.observe(time.Second)
	is.Equal(r.gauge("control.tolerated_losses"), int64(2))
	r.watch.end()
	unknown()
	is.True(r.server.tolerance.Load() == nil)
}

func TestWaitingLearnerIsLogged(t *testing.T) {
	is := is.New(t)
	r := newWatchRig()
	r.observe(time.Second)
	r.takeLines()
	r.status.Membership.Learners = []*apiv1.MemberInfo{{Incarnation: 9, Name: "edge-region-a-9"}}
	r.status.Progress[9] = replica.Progress{MatchIndex: 4_000, State: "replicating"}
	r.observe(learnerWaitThreshold)
	is.Equal(len(r.takeLines()), 0)
	r.observe(toleranceInterval)
	lines := r.takeLines()
	is.Equal(len(lines), 1)
	is.True(strings.Contains(keptPart(lines[0]), `"learner":"edge-region-a-9","waited_ms":3000,"behind":6000`))
	r.observe(learnerWaitInterval)
	is.Equal(len(r.takeLines()), 1)
}

func TestMissingVoterIsAProblemInTheStatus(t *testing.T) {
	is := is.New(t)
	r := newWatchRig()
	r.silence(3)
	r.silence(4)
	r.observe(time.Minute)
	members := []*apiv1.Member{{Incarnation: 2}, {Incarnation: 3}, {Incarnation: 4, Problem: "the disk has not answered for 2s"}}
	r.server.addMissing(members, r.now)
	is.Equal(members[0].GetProblem(), "")
	is.True(strings.HasPrefix(members[1].GetProblem(), "silent since 2023-11-14T22:1"))
	is.Equal(members[2].GetProblem(), "the disk has not answered for 2s")
}
