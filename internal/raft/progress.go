package raft

// progressState is how the leader sends entries to a member.
type progressState int

const (
	// probing: one append a heartbeat, until a matching entry is found.
	probing progressState = iota
	// replicating: appends are pipelined.
	replicating
	// snapshotting: a snapshot is on its way, no appends.
	snapshotting
)

// progress is the leader's view of one member.
//
// Invariant: match < next. All entries up to match are on the member's disk and
// equal to the leader's.
type progress struct {
	match          uint64
	next           uint64
	state          progressState
	probeSent      bool
	inflights      inflights
	idleTicks      int    // since the member last answered
	snapshotTicks  int    // since the snapshot was sent
	confirmedReads uint64 // highest read-index round that the member answered
}

func newProgress(next uint64, window int) *progress {
	return &progress{next: next, inflights: inflights{capacity: window}}
}

func (p *progress) become(state progressState) {
	p.state = state
	p.probeSent = false
	p.snapshotTicks = 0
	p.inflights.reset()
	if state != snapshotting {
		p.next = p.match + 1
	}
}

// acknowledge records that the member's log matches up to index. It returns
// false if that was known.
func (p *progress) acknowledge(index uint64) bool {
	p.next = max(p.next, index+1)
	if index <= p.match {
		return false
	}
	p.match = index
	p.probeSent = false
	return true
}

// reject moves next back after the member refused an append that followed
// index; hint is the last index that may match. It returns false for an
// outdated refusal.
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
	p.probeSent = false
	return true
}

// paused reports whether no append may be sent at present.
func (p *progress) paused() bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return p.inflights.full()
	}
	return true
}

// sent records an append message that ends at last.
func (p *progress) sent(last uint64, entries int) {
	switch p.state {
	case probing:
		p.probeSent = true
	case replicating:
		if entries > 0 {
			p.next = last + 1
			p.inflights.add(last)
		}
	}
}
