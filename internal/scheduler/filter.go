package scheduler

// Filter decides whether a worker can run a task.
type Filter interface {
	// Name is shown to operators as the reason why a task waits.
	Name() string
	Pass(r *Request, w *Worker) bool
}

// Reasons why a task waits, as shown to operators.
const (
	ReasonWorkerGone    = "worker-gone"
	ReasonQuarantine    = "quarantine"
	ReasonCapacity      = "capacity"
	ReasonReservation   = "reservation"
	ReasonQuota         = "quota"
	ReasonReleaseTime   = "release-time"
	ReasonRetry         = "retry-pause"
	ReasonGang          = "gang"
	ReasonNeverRunnable = "never-runnable"
)

// filters returns all filters. A worker is counted under the first one that
// rejects it.
func (c *Cell) filters() []Filter {
	return []Filter{aliveFilter{}, quarantineFilter{}, capacityFilter{}, reservationFilter{cell: c}}
}

type aliveFilter struct{}

func (aliveFilter) Name() string { return ReasonWorkerGone }

func (aliveFilter) Pass(_ *Request, w *Worker) bool { return w.registered && w.Alive }

type quarantineFilter struct{}

func (quarantineFilter) Name() string { return ReasonQuarantine }

func (quarantineFilter) Pass(_ *Request, w *Worker) bool { return !w.Quarantined }

type capacityFilter struct{}

func (capacityFilter) Name() string { return ReasonCapacity }

func (capacityFilter) Pass(r *Request, w *Worker) bool { return r.Amount.FitsIn(w.Free) }

// reservationFilter rejects workers whose free capacity is reserved for other
// jobs.
type reservationFilter struct {
	cell *Cell
}

func (reservationFilter) Name() string { return ReasonReservation }

func (f reservationFilter) Pass(r *Request, w *Worker) bool {
	ok, _ := f.cell.reservationsAllow(r, w)
	return ok
}
