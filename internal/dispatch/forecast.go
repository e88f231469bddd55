package dispatch

import "time"

// overrunAllowance is how much longer a run that exceeds its estimate is expected
// to take, as a fraction of the estimate.
const overrunAllowance = 0.25

// expectedEnd returns the time when the run is expected to end. It is not known
// for runs without a task and for long-running tasks.
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

// nextExpectedEnd returns when the first of the worker's runs is expected to end, if that
// is known of any.
func (w *worker) nextExpectedEnd(now time.Time) (next time.Time, known bool) {
	for _, r := range w.runs {
		if end, ok := r.expectedEnd(now); ok && (!known || end.Before(next)) {
			next, known = end, true
		}
	}
	return next, known
}

// expectedFit returns how many of the unit's tasks are expected to fit on the
// worker at the given time if nothing else starts there.
func (w *worker) expectedFit(u *unit, now, by time.Time) int {
	return u.limitPerWorker(w, w.freeBy(now, by).fitCount(u.size))
}

// freeBy returns the resources that are expected to be free on the worker at the given time
// if nothing else starts there.
func (w *worker) freeBy(now, by time.Time) resources {
	free := w.free
	for _, r := range w.runs {
		if end, known := r.expectedEnd(now); known && !end.After(by) {
			free.add(r.size)
		}
	}
	return free
}

// forecast tells the resources that workers are expected to have free at each reservation
// horizon. It computes each worker's once, from the runs at that moment.
type forecast struct {
	now  time.Time
	free map[*worker]*[len(reservationHorizons)]resources // indexed like reservationHorizons
}

func newForecast(now time.Time) *forecast {
	return &forecast{now: now, free: make(map[*worker]*[len(reservationHorizons)]resources)}
}

// freeOn returns the resources that the worker is expected to have free at each horizon.
func (f *forecast) freeOn(w *worker) *[len(reservationHorizons)]resources {
	if free := f.free[w]; free != nil {
		return free
	}
	free := &[len(reservationHorizons)]resources{}
	for i := range free {
		free[i] = w.free
	}
	for _, r := range w.runs {
		end, known := r.expectedEnd(f.now)
		for i, horizon := range reservationHorizons {
			if known && !end.After(f.now.Add(horizon)) {
				free[i].add(r.size)
			}
		}
	}
	f.free[w] = free
	return free
}
