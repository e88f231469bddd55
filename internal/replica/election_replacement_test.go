package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// replacementSchedules is how many schedules of a replacement are played for each one of other faults; few of them draw a
// replacement that only one of the slow voters has.
const replacementSchedules = 10

// newReplacementModel returns a model of five voters, two of which have lost their disks. An entry that replaces them by two
// new voters is on the disks of a drawn number of the others and is not committed. All but the lost ones start at once.
func newReplacementModel(t *testing.T, seed uint64, faults modelFaults) *electionModel {
	m := &electionModel{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 0)), faults: faults}
	before := votersOf(1, 2, 3, 4, 5)
	data, err := proto.Marshal(votersOf(1, 2, 3, 6, 7))
	if err != nil {
		t.Fatal(err)
	}
	replacement := &apiv1.LogEntry{Index: 2, Term: 1, Kind: apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data}
	for id := uint64(1); id <= 7; id++ {
		v := &modelVoter{
			model: m, number: int(id - 1), id: id, snapshot: &apiv1.SnapshotMeta{Index: 1, Term: 1, Membership: before},
			state: raft.HardState{Term: 1, Commit: 1}, isLost: id == 4 || id == 5,
		}
		if id == 1 || m.random.IntN(3) > 0 {
			v.entries = []*apiv1.LogEntry{replacement}
		}
		m.voters = append(m.voters, v)
		v.start()
		m.after(m.below(modelTick), v.wake)
	}
	m.faultAt = m.now
	return m
}

// The new voters respond fast, and the three that are left of those before, all of whose votes are needed, slowly.
func TestLeaderIsElectedDuringAReplacement(t *testing.T) {
	for _, delay := range []time.Duration{fastCall, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			faults := modelFaults{call: func(m *electionModel, from, to int) modelCall {
				if max(from, to) < 3 {
					return modelCall{arrives: delay}
				}
				return modelCall{arrives: m.below(fastCall)}
			}}
			var times []time.Duration
			for i := range replacementSchedules * *electionSchedules {
				m := newReplacementModel(t, *electionSeed+uint64(i), faults)
				m.runUntil(m.faultAt.Add(10*modelRecovery), func() bool { return !m.committedAt.IsZero() })
				times = append(times, m.took())
				if m.took() > modelRecovery {
					t.Errorf("seed %d: a command is committed after %s, bound %s", *electionSeed+uint64(i), m.took(), modelRecovery)
				}
			}
			slices.Sort(times)
			t.Logf("p50 %.2fs, p99 %.2fs, longest %.2fs of %d", times[len(times)/2].Seconds(), times[len(times)*99/100].Seconds(),
				times[len(times)-1].Seconds(), len(times))
		})
	}
}
