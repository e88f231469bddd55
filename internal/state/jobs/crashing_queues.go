package jobs

import "maps"

// crashingQueueRetentionMs is how long a queue is remembered whose tasks have crashed workers.
const crashingQueueRetentionMs = 10 * 60 * 1000

// implicateQueue records that tasks of the queue crash workers.
func (t *Table) implicateQueue(nowUnixMs int64, queue string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashingQueues[queue] = nowUnixMs
	maps.DeleteFunc(t.crashingQueues, func(_ string, at int64) bool { return at < nowUnixMs-crashingQueueRetentionMs })
}

// CrashingQueues returns the queues whose tasks have lately crashed workers, with the Unix time
// in ms at which that was last seen.
func (t *Table) CrashingQueues() map[string]int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return maps.Clone(t.crashingQueues)
}
