package replica

import "github.com/rcrowley/go-metrics"

// counters are the replica's metrics.
type counters struct {
	proposals          metrics.Counter
	applied            metrics.Counter
	messagesSent       metrics.Counter
	messagesDropped    metrics.Counter // a queue was full or the receiver unknown
	callsFailed        metrics.Counter
	snapshotsSaved     metrics.Counter
	snapshotsSent      metrics.Counter
	snapshotsInstalled metrics.Counter
	handovers          metrics.Counter // requests of a leader to take over
	sync               metrics.Timer
}

func newCounters(registry metrics.Registry) counters {
	return counters{
		proposals:          metrics.GetOrRegisterCounter("replica.proposals", registry),
		applied:            metrics.GetOrRegisterCounter("replica.applied", registry),
		messagesSent:       metrics.GetOrRegisterCounter("replica.messages.sent", registry),
		messagesDropped:    metrics.GetOrRegisterCounter("replica.messages.dropped", registry),
		callsFailed:        metrics.GetOrRegisterCounter("replica.calls.failed", registry),
		snapshotsSaved:     metrics.GetOrRegisterCounter("replica.snapshots.saved", registry),
		snapshotsSent:      metrics.GetOrRegisterCounter("replica.snapshots.sent", registry),
		snapshotsInstalled: metrics.GetOrRegisterCounter("replica.snapshots.installed", registry),
		handovers:          metrics.GetOrRegisterCounter("replica.handovers.received", registry),
		sync:               metrics.GetOrRegisterTimer("replica.sync", registry),
	}
}
