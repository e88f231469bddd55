package relay

import "time"

// Fault is what a relay does wrong. The zero value relays faithfully.
type Fault struct {
	DropToTarget bool // bytes from clients are read and dropped
	DropToClient bool // bytes from the target are read and dropped
	RefuseNew    bool // new connections are closed at once
	// Delay holds back each piece of data, in both directions.
	Delay time.Duration
}
