package admission

import "time"

// Band is the band of a unit in the order of placement, best first.
type Band int

// Bands. The dispatcher's have the same values.
const (
	BandUrgent Band = iota
	BandOnTime
	BandLate
	BandExpired
)

// Waiting is work that has not started.
type Waiting struct {
	Workspace string // empty: none
	OverRate  bool
	Band      Band
	Priority  int32         // 0 is the highest
	Slack     time.Duration // until the latest start with which the job meets its objective
	Remaining float64       // core-seconds of the job that are left; the order among late ones
	Work      Amounts       // resources multiplied by seconds, corrected by the learned ratio
}

// backlog is waiting work in the order of placement. Expired work is not kept: all other work
// comes before it.
type backlog struct {
	onTime [BandLate]workHistogram // by slack in seconds; urgent and on time
	late   map[int32]*workHistogram
}

func (b *backlog) add(w Waiting) {
	switch {
	case w.Band < BandLate:
		b.onTime[w.Band].add(w.Slack.Seconds(), w.Work)
	case w.Band == BandLate:
		if b.late == nil {
			b.late = make(map[int32]*workHistogram)
		}
		h := b.late[w.Priority]
		if h == nil {
			h = &workHistogram{}
			b.late[w.Priority] = h
		}
		h.add(w.Remaining, w.Work)
	}
}

// aheadOnTime returns the work that is placed before the job while it can still meet its
// objective. A nil backlog is empty.
func (b *backlog) aheadOnTime(j *Job) Amounts {
	if b == nil {
		return Amounts{}
	}
	if j.Band == BandUrgent {
		return b.onTime[BandUrgent].below(j.Slack.Seconds())
	}
	return b.onTime[BandUrgent].total.Plus(b.onTime[BandOnTime].below(j.Slack.Seconds()))
}

// aheadLate returns the work that is placed before the job once it is late. For an urgent job
// only work of urgent jobs counts, late ones included.
func (b *backlog) aheadLate(j *Job) Amounts {
	if b == nil {
		return Amounts{}
	}
	sum := b.onTime[BandUrgent].total
	if j.Band != BandUrgent {
		sum = sum.Plus(b.onTime[BandOnTime].total)
	}
	for priority, h := range b.late {
		switch {
		case priority < j.Priority:
			sum = sum.Plus(h.total)
		case priority == j.Priority:
			sum = sum.Plus(h.below(j.Remaining))
		}
	}
	return sum
}

// waiting returns all work that still has a value.
func (b *backlog) waiting() Amounts {
	if b == nil {
		return Amounts{}
	}
	sum := b.onTime[BandUrgent].total.Plus(b.onTime[BandOnTime].total)
	for _, h := range b.late {
		sum = sum.Plus(h.total)
	}
	return sum
}
