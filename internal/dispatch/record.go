package dispatch

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// RecordChanged reports whether a worker's report differs from its replicated
// record, so that the record has to be updated. Reports of earlier incarnations
// are ignored, and draining and gone are never reset within an incarnation.
func RecordChanged(current, reported *apiv1.PoolWorker) bool {
	if reported.GetBornUnixMs() != current.GetBornUnixMs() {
		return reported.GetBornUnixMs() > current.GetBornUnixMs()
	}
	return reported.GetAddress() != current.GetAddress() ||
		reported.GetService() != current.GetService() ||
		(reported.GetDraining() && !current.GetDraining()) ||
		(reported.GetGone() && !current.GetGone()) ||
		reported.GetCpuMillis() != current.GetCpuMillis() ||
		reported.GetMemoryMb() != current.GetMemoryMb() ||
		reported.GetAccelerators() != current.GetAccelerators() ||
		!slices.Equal(reported.GetLabels(), current.GetLabels())
}
