package replica

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Two of five disks are lost, so both others' votes are needed. One failed call to the slower of them shortened the time
// that messages take to a majority to that of the faster one.
func TestFailedCallDoesNotShortenTheMessageTime(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	answered := func(took time.Duration) *sender {
		s := &sender{}
		begun := now.Add(-2 * time.Second)
		s.times.latest = []answeredCall{{begun, begun.Add(took)}}
		s.times.respondedAt = begun.Add(took)
		return s
	}
	fast, slow := answered(20*time.Millisecond), answered(900*time.Millisecond)
	tr := &transport{config: Config{CallTimeout: 160 * time.Millisecond}, senders: map[uint64]*sender{2: fast, 3: slow}}
	var voters []*apiv1.MemberInfo
	for id := uint64(1); id <= 5; id++ {
		voters = append(voters, &apiv1.MemberInfo{Incarnation: id})
	}
	before, known := tr.messageTime(voters, now)
	is.True(known)
	call := slow.times.begin(now, 1, func() {})
	slow.times.end(now, call, errors.New("too many messages wait"))
	after, known := tr.messageTime(voters, now)
	is.True(!known || after >= before)
}
