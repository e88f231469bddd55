package failure_test

import "time"

type soakRun struct {
	task       string
	run        int64
	began      time.Time
	ends       time.Time
	failsAtEnd bool
	stopping   bool
	gang       *soakGang // nil: the task belongs to no gang
}

// outcome returns the result of the run; "" if it is still running.
func (r *soakRun) outcome(now time.Time) string {
	switch {
	case r.stopping:
		return ""
	case r.failsAtEnd && now.After(r.ends):
		return "failed"
	case r.gang != nil:
		return r.gang.outcome(now, r.began)
	case now.After(r.ends):
		return "done"
	}
	return ""
}

// memberEnded tells the gang, if any, how this member ended.
func (r *soakRun) memberEnded(result string) {
	if r.gang != nil {
		r.gang.memberEnded(result)
	}
}

// soakEndedRun is an ended run that was not acknowledged yet.
type soakEndedRun struct {
	sequence int64
	task     string
	run      int64
	result   string
	lapsedAt time.Time // when the worker's lease lapsed after the end; zero: it has not
}
