package dispatch

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// crashedWorkers holds the workers that have crashed and are not back yet, with the time of
// the crash, by address: a later incarnation may have another id.
type crashedWorkers map[string]time.Time

// maxCrashedTime is how long a crashed worker counts as about to come back. Later it is gone.
const maxCrashedTime = 10 * time.Second

func (c crashedWorkers) add(record *apiv1.PoolWorker, now time.Time) { c[record.GetAddress()] = now }

// remove forgets a worker that is back.
func (c crashedWorkers) remove(record *apiv1.PoolWorker) { delete(c, record.GetAddress()) }

// count returns how many workers are expected to come back.
func (c crashedWorkers) count(now time.Time) int {
	for address, at := range c {
		if now.Sub(at) > maxCrashedTime {
			delete(c, address)
		}
	}
	return len(c)
}
