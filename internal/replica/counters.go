package replica

import "github.com/rcrowley/go-metrics"

// counters holds the metrics of a replica.
type counters struct {
	proposals          metrics.Counter
	applied            metrics.Counter
	messagesSent       metrics.Counter
	messagesDropped    metrics.Counter // because a queue was full or the receiver's address unknown
	calls              metrics.Timer   // to other members, until the response
	callsFailed        metrics.Counter
	callsOvertaken     metrics.Counter // by newer messages, as they took longer than Config.CallTimeout
	snapshotsSaved     metrics.Counter
	snapshotsSent      metrics.Counter
	snapshotsInstalled metrics.Counter
	transfersReceived  metrics.Counter // requests by a leader to take over leadership
	sync               metrics.Timer
	diskStalled        metrics.Gauge // 1 while the disk does not answer
}

func newCounters(registry metrics.Registry) counters {
	return counters{
		proposals:          metrics.GetOrRegisterCounter("replica.proposals", registry),
		applied:            metrics.GetOrRegisterCounter("replica.applied", registry),
		messagesSent:       metrics.GetOrRegisterCounter("replica.messages.sent", registry),
		messagesDropped:    metrics.GetOrRegisterCounter("replica.messages.dropped", registry),
		calls:              metrics.GetOrRegisterTimer("replica.calls", registry),
		callsFailed:        metrics.GetOrRegisterCounter("replica.calls.failed", registry),
		callsOvertaken:     metrics.GetOrRegisterCounter("replica.calls.overtaken", registry),
		snapshotsSaved:     metrics.GetOrRegisterCounter("replica.snapshots.saved", registry),
		snapshotsSent:      metrics.GetOrRegisterCounter("replica.snapshots.sent", registry),
		snapshotsInstalled: metrics.GetOrRegisterCounter("replica.snapshots.installed", registry),
		transfersReceived:  metrics.GetOrRegisterCounter("replica.handovers.received", registry),
		sync:               metrics.GetOrRegisterTimer("replica.sync", registry),
		diskStalled:        metrics.GetOrRegisterGauge("replica.disk.stalled", registry),
	}
}
