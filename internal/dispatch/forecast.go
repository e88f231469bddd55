package dispatch

import "time"

// overrunAllowance is the part of its estimate that a run which has outlasted it is
// expected to take on.
const overrunAllowance = 0.25

// expectedEnd returns when the run should be over. Nothing is known of runs
// whose task is unknown or that last.
func (r *run) expectedEnd(now time.Time) (end time.Time, known bool) {
	if r.phase == phaseStopping {
		return now, true
	}
	if r.task == nil || r.task.unit.spec.GetLongRunning() {
		return time.Time{}, false
	}
	estimate := r.task.unit.estimate()
	return latestOf(r.startSent.Add(estimate), now.Add(time.Duration(overrunAllowance*float64(estimate)))), true
}

// expectedFit is how many of the unit's tasks the worker should have room for at the
// given time, if nothing else starts there.
func (w *worker) expectedFit(u *unit, now, by time.Time) int {
	free := w.free
	for _, r := range w.runs {
		if end, known := r.expectedEnd(now); known && !end.After(by) {
			free.add(r.size)
		}
	}
	return u.limitPerWorker(w, free.fitCount(u.size))
}

// forecast holds what each worker should have free at each of the horizons. It
// is made once in a pass, for the first gang that needs it.
type forecast struct {
	now  time.Time
	free map[*worker]*[len(reservationHorizons)]resources
}

func newForecast(workers []*worker, now time.Time) *forecast {
	f := &forecast{now: now, free: make(map[*worker]*[len(reservationHorizons)]resources, len(workers))}
	for _, w := range workers {
		free := &[len(reservationHorizons)]resources{}
		for i := range free {
			free[i] = w.free
		}
		for _, r := range w.runs {
			end, known := r.expectedEnd(now)
			for i, horizon := range reservationHorizons {
				if known && !end.After(now.Add(horizon)) {
					free[i].add(r.size)
				}
			}
		}
		f.free[w] = free
	}
	return f
}
