package control

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/pistachioport/pistachioport/internal/replica"
)

const lostVoteLogInterval = 5 * time.Second // between two lines of the same process

// lostVoteLog logs that a process which is a voter by its own log is heard by a leader that does not send to it. A
// process that was removed while it could not be reached learns of it in no other way, as the leader sends it nothing.
// The zero value is ready for use.
type lostVoteLog struct {
	logged time.Time
}

func (l *lostVoteLog) log(now time.Time, logger *slog.Logger, status replica.Status) {
	if status.Leader != 0 || now.Sub(l.logged) < lostVoteLogInterval {
		return
	}
	l.logged = now
	logger.Warn("no longer a member, or cut off: a leader answers and sends nothing", "voters", len(status.Membership.GetVoters()),
		"term", status.Term, "incarnation", fmt.Sprintf("%x", status.Incarnation))
}
