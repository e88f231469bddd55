package claims

import (
	"time"

	"github.com/google/uuid"
)

// maxClockSkew is how far a key's time may lie ahead of the replicated
// clock, for callers whose clocks differ.
const maxClockSkew = 5 * time.Minute

// keyTime returns the Unix milliseconds that a version 7 UUID names. Other
// keys name no time.
func keyTime(key string) (int64, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0, false
	}
	seconds, nanos := id.Time().UnixTime()
	return seconds*1000 + nanos/int64(time.Millisecond), true
}
