package relay

import "time"

// Fault is the set of faults that a relay injects. The zero value injects none.
type Fault struct {
	DropToTarget bool // bytes from clients are read and discarded
	DropToClient bool // bytes from the target are read and discarded
	RefuseNew    bool // new connections are closed immediately
	// Delay is added before each chunk of data is forwarded, in both directions.
	Delay time.Duration
}
