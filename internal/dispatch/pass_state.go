package dispatch

import "time"

// passState is what one pass has found out.
type passState struct {
	now    time.Time
	seen   *forecast
	booked []int // workers booked by units of each band; nil: to be counted
}

// bookedFrom counts the workers that units of the band and of better ones have
// booked.
func (s *passState) bookedFrom(workers []*worker, worst band) int {
	if s.booked == nil {
		s.booked = make([]int, bandHopeless+1)
		for _, w := range workers {
			if w.bookedFor != nil {
				s.booked[w.bookedFor.rank.band]++
			}
		}
	}
	total := 0
	for _, count := range s.booked[:worst+1] {
		total += count
	}
	return total
}

// forecast is made once, from the state at its first use.
func (s *passState) forecast(workers []*worker) *forecast {
	if s.seen == nil {
		s.seen = newForecast(workers, s.now)
	}
	return s.seen
}
