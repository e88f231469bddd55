package dispatch

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// RecordChanged reports whether a worker's report differs from its replicated
// record, so that the record has to be updated. Reports of earlier incarnations are
// ignored. Within an incarnation, draining and gone are never reset, also by an older
// report, of which nothing else counts. A report that differs only in its sequence
// changes nothing, and one that names another service is not the worker's.
func RecordChanged(current, reported *apiv1.PoolWorker) bool {
	if reported.GetBornUnixMs() != current.GetBornUnixMs() {
		return reported.GetBornUnixMs() > current.GetBornUnixMs()
	}
	if reported.GetService() != current.GetService() {
		return false
	}
	if (reported.GetDraining() && !current.GetDraining()) || (reported.GetGone() && !current.GetGone()) {
		return true
	}
	if reported.GetSequence() < current.GetSequence() {
		return false
	}
	return reported.GetAddress() != current.GetAddress() ||
		reported.GetCpuMillis() != current.GetCpuMillis() ||
		reported.GetMemoryMb() != current.GetMemoryMb() ||
		reported.GetAccelerators() != current.GetAccelerators() ||
		!slices.Equal(reported.GetLabels(), current.GetLabels())
}
