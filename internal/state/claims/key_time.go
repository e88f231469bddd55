package claims

import (
	"time"

	"github.com/google/uuid"
)

// maxClockSkew is how far a key's time may lie ahead of the replicated clock, to
// allow for callers whose clocks run ahead.
const maxClockSkew = 5 * time.Minute

// keyTime returns the timestamp of a key that is a version 7 UUID, in Unix
// milliseconds, and false for any other key.
func keyTime(key string) (int64, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0, false
	}
	seconds, nanos := id.Time().UnixTime()
	return seconds*1000 + nanos/int64(time.Millisecond), true
}
