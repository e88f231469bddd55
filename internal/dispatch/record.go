package dispatch

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// RecordChanged reports whether a worker's report says something that the
// replicated record does not hold yet. Reports of earlier lives don't count.
func RecordChanged(present, reported *apiv1.PoolWorker) bool {
	if reported.GetBornUnixMs() != present.GetBornUnixMs() {
		return reported.GetBornUnixMs() > present.GetBornUnixMs()
	}
	return reported.GetAddress() != present.GetAddress() ||
		reported.GetService() != present.GetService() ||
		(reported.GetDraining() && !present.GetDraining()) ||
		(reported.GetGone() && !present.GetGone()) ||
		reported.GetCpuMillis() != present.GetCpuMillis() ||
		reported.GetMemoryMb() != present.GetMemoryMb() ||
		reported.GetAccelerators() != present.GetAccelerators() ||
		!slices.Equal(reported.GetLabels(), present.GetLabels())
}
