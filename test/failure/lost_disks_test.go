package failure_test

import "time"

// lostDisks counts the lost disks that a day must not exceed: each counts from its loss until its machine, or its successor,
// has been back for coreCatchUpBound.
type lostDisks struct {
	down int         // whose machines aren't back
	back []time.Time // when the others were back
}

// lose records the loss of disks and reports whether as many are tolerated.
func (l *lostDisks) lose(now time.Time, count int) bool {
	l.down += count
	return l.counted(now) <= coreTolerated
}

// returned records that all machines are back.
func (l *lostDisks) returned(now time.Time) {
	for ; l.down > 0; l.down-- {
		l.back = append(l.back, now)
	}
}

func (l *lostDisks) counted(now time.Time) int {
	count := l.down
	for _, back := range l.back {
		if now.Sub(back) < coreCatchUpBound {
			count++
		}
	}
	return count
}
