package replica

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// senderWithCall returns a sender whose latest call took so long.
func senderWithCall(now time.Time, took time.Duration) *sender {
	s := &sender{}
	begun := now.Add(-2 * time.Second)
	s.times.latest = []answeredCall{{begun, begun.Add(took)}}
	s.times.respondedAt = begun.Add(took)
	return s
}

// votersOf returns a membership of these voters.
func votersOf(incarnations ...uint64) *apiv1.Membership {
	membership := &apiv1.Membership{}
	for _, id := range incarnations {
		membership.Voters = append(membership.Voters, &apiv1.MemberInfo{Incarnation: id})
	}
	return membership
}

// Two of five disks are lost, so both others' votes are needed. One failed call to the slower of them shortened the time
// that messages take to a majority to that of the faster one.
func TestFailedCallDoesNotShortenTheMessageTime(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	fast, slow := senderWithCall(now, 20*time.Millisecond), senderWithCall(now, 900*time.Millisecond)
	tr := &transport{config: Config{CallTimeout: 160 * time.Millisecond}, senders: map[uint64]*sender{2: fast, 3: slow}}
	electorate := []*apiv1.Membership{votersOf(1, 2, 3, 4, 5)}
	before, known := tr.messageTime(electorate, 1, now)
	is.True(known)
	call := slow.times.begin(now, 1, func() {})
	slow.times.end(now, call, errors.New("too many messages wait"))
	after, known := tr.messageTime(electorate, 1, now)
	is.True(!known || after >= before)
}

// Two of five disks are lost, and the processes there refuse messages at once. The calls to both others, which took long,
// did not count before the first of them was answered: candidates gave each other no time, and split the votes.
func TestCallsInProgressCountBesideLostDisks(t *testing.T) {
	now := time.Now()
	const waited = 700 * time.Millisecond
	waiting := func() *sender {
		s := senderWithCall(now, 5*time.Millisecond)
		s.times.begin(now.Add(-waited), 1, func() {})
		return s
	}
	refusing := func(err error) *sender {
		s := senderWithCall(now, 5*time.Millisecond)
		s.times.end(now, s.times.begin(now, 1, func() {}), err)
		return s
	}
	diskLost := twirp.NewError(twirp.FailedPrecondition, "the message is for another incarnation").WithMeta(metaIncarnation, "7")
	for name, tc := range map[string]struct {
		senders map[uint64]*sender
		want    time.Duration
		known   bool
	}{
		"disks lost":                 {map[uint64]*sender{2: waiting(), 3: waiting(), 4: refusing(diskLost), 5: refusing(diskLost)}, waited, true},
		"processes gone":             {map[uint64]*sender{2: waiting(), 3: waiting(), 4: refusing(syscall.ECONNREFUSED), 5: refusing(diskLost)}, waited, true},
		"another may answer at once": {map[uint64]*sender{2: waiting(), 3: waiting(), 4: refusing(diskLost)}, 0, false},
		"one answers":                {map[uint64]*sender{2: waiting(), 3: senderWithCall(now, time.Second), 4: refusing(diskLost), 5: refusing(diskLost)}, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr := &transport{config: Config{CallTimeout: 160 * time.Millisecond}, senders: tc.senders}
			got, known := tr.messageTime([]*apiv1.Membership{votersOf(1, 2, 3, 4, 5)}, 1, now)
			is.Equal(known, tc.known)
			is.Equal(got, tc.want)
		})
	}
}

// The new voters of a replacement that is not committed respond fast, and the others, whose votes are needed, slowly. A
// candidate took the time of the new voters for that of its messages.
func TestMessageTimeIsThatOfTheSlowestMajority(t *testing.T) {
	now := time.Now()
	fast, slow := 20*time.Millisecond, 900*time.Millisecond
	before, after := votersOf(1, 2, 3, 4, 5), votersOf(1, 2, 3, 6, 7) // 4 and 5 have lost their disks
	for name, tc := range map[string]struct {
		self       uint64
		electorate []*apiv1.Membership
		slow       []uint64 // voters; calls to the others are fast
		want       time.Duration
	}{
		"after the commit":                      {1, []*apiv1.Membership{after}, []uint64{2, 3}, fast},
		"before the commit":                     {1, []*apiv1.Membership{after, before}, []uint64{2, 3}, slow},
		"before the commit, new voters slow":    {1, []*apiv1.Membership{after, before}, []uint64{3, 6, 7}, slow},
		"a new voter needs three of those left": {6, []*apiv1.Membership{after, before}, []uint64{3}, slow},
		"a new voter after the commit":          {6, []*apiv1.Membership{after}, []uint64{3}, fast},
		"a voter that is removed":               {1, []*apiv1.Membership{votersOf(2, 6, 7)}, []uint64{2}, fast},
		"a voter that is removed needs two":     {1, []*apiv1.Membership{votersOf(2, 6, 7)}, []uint64{2, 6}, slow},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			senders := make(map[uint64]*sender)
			for _, id := range []uint64{1, 2, 3, 6, 7} {
				took := fast
				if slices.Contains(tc.slow, id) {
					took = slow
				}
				senders[id] = senderWithCall(now, took)
			}
			delete(senders, tc.self)
			tr := &transport{config: Config{CallTimeout: 160 * time.Millisecond}, senders: senders}
			got, known := tr.messageTime(tc.electorate, tc.self, now)
			is.True(known)
			is.True(got >= tc.want)
			is.True(got < tc.want+100*time.Millisecond)
		})
	}
}
