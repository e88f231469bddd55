package dispatch

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// RecordChanged reports whether a worker's report differs from its replicated
// record, so that the record has to be updated. Reports of earlier incarnations
// are ignored, and draining and gone are never taken back within an incarnation.
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
