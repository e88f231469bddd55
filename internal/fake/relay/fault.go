package relay

import "time"

// Fault is the set of faults that a relay injects. The zero value injects none.
type Fault struct {
	DropToTarget bool // bytes from clients are read and discarded
	DropToClient bool // bytes from the target are read and discarded
	RefuseNew    bool // new connections are closed immediately
	// Silent drops the bytes of both directions and holds new connections without a response, as an address without power
	// does: connections held this way are closed once the fault is over.
	Silent bool
	// Delay is added before each chunk of data is forwarded, in both directions.
	Delay time.Duration
	// BytesPerSecond limits the data forwarded in each direction, on all connections of a source together; 0: no limit.
	BytesPerSecond int64
}
