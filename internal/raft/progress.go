package raft

// progressState determines how the leader sends entries to a member.
type progressState int

const (
	// probing: one append until a matching entry is found; it is repeated after each
	// heartbeat response, without entries.
	probing progressState = iota
	// replicating: appends are pipelined within the in-flight window.
	replicating
	// snapshotting: a snapshot is in flight and no appends are sent.
	snapshotting
)

func (s progressState) String() string {
	switch s {
	case probing:
		return "probing"
	case replicating:
		return "replicating"
	default:
		return "snapshotting"
	}
}

// progress is the leader's view of one member's log.
//
// Invariant: match < next. All entries up to match are on the member's disk and
// equal to the leader's.
type progress struct {
	match                 uint64 // index
	next                  uint64 // index of the next entry to send
	state                 progressState
	probeSent             bool // while probing: the append is sent and not answered
	entriesSent           bool // while probing: the entries from next on were sent
	inflights             inflights
	ticksSinceResponse    int
	ticksSinceSnapshot    int    // since the snapshot was sent
	sequenceAfterSnapshot uint64 // while snapshotting: of heartbeats sent after the delivery; 0: not delivered
	answeredReadSequence  uint64 // highest sequence of a heartbeat that the member answered
}

func newProgress(next uint64, window int) *progress {
	return &progress{next: next, inflights: inflights{capacity: window}}
}

// become enters the state and resets what belongs to the previous one.
func (p *progress) become(state progressState) {
	p.state = state
	p.probeSent, p.entriesSent = false, false
	p.ticksSinceSnapshot = 0
	p.sequenceAfterSnapshot = 0
	p.inflights.reset()
	if state != snapshotting {
		p.next = p.match + 1
	}
}

// acknowledge records that the member's log matches up to index. It returns
// false if that was known already.
func (p *progress) acknowledge(index uint64) bool {
	p.next = max(p.next, index+1)
	if index <= p.match {
		return false
	}
	p.match = index
	p.probeSent = false
	return true
}

// reject moves next back after the member rejected an append whose entries
// follow index. hint is the last index that may match. It returns false if the
// rejection is out of date.
func (p *progress) reject(index, hint uint64) bool {
	if p.state == replicating {
		if index <= p.match {
			return false
		}
		p.next = p.match + 1
		return true
	}
	if p.next-1 != index {
		return false
	}
	p.next = max(min(index, hint+1), p.match+1)
	p.probeSent, p.entriesSent = false, false
	return true
}

// paused reports whether no append may be sent for now.
func (p *progress) paused() bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return p.inflights.full()
	}
	return true
}

// snapshotPassed reports whether the member has processed the delivered snapshot or lost
// it: it answered a heartbeat that came after it.
func (p *progress) snapshotPassed() bool {
	return p.state == snapshotting && p.sequenceAfterSnapshot > 0 && p.answeredReadSequence >= p.sequenceAfterSnapshot
}

// recordSent records that an append message with the given number of entries was
// sent, the last of them at index last.
func (p *progress) recordSent(last uint64, entries int) {
	switch p.state {
	case probing:
		p.probeSent, p.entriesSent = true, true
	case replicating:
		if entries > 0 {
			p.next = last + 1
			p.inflights.add(last)
		}
	}
}
