package rpc

import "time"

// addressState is what a call has sent to one address.
type addressState struct {
	sent     int       // number of attempts
	sentAt   time.Time // of the latest one
	inFlight int
	// uncertainAt is when an attempt last ended that may have had an effect; zero: none has.
	uncertainAt time.Time
}
