package dispatch

import "time"

// passState is what one pass has found out.
type passState struct {
	now            time.Time
	cachedForecast *forecast
	reserved       []int // workers booked by units of each band; nil: to be counted
}

// reservedWorkers counts the workers that units of the band and of better ones have
// booked.
func (s *passState) reservedWorkers(workers []*worker, worst band) int {
	if s.reserved == nil {
		s.reserved = make([]int, bandExpired+1)
		for _, w := range workers {
			if w.reservedFor != nil {
				s.reserved[w.reservedFor.rank.band]++
			}
		}
	}
	total := 0
	for _, count := range s.reserved[:worst+1] {
		total += count
	}
	return total
}

// forecast is made once, from the state at its first use.
func (s *passState) forecast(workers []*worker) *forecast {
	if s.cachedForecast == nil {
		s.cachedForecast = newForecast(workers, s.now)
	}
	return s.cachedForecast
}
