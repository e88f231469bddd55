package scheduler

// Filter says whether a worker can take a task at all.
type Filter interface {
	// Name is shown to operators as the reason why a task waits.
	Name() string
	Pass(r *Request, w *Worker) bool
}

// Names of the reasons why a task waits.
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

// filters are all filters, in the order in which a refusal is counted.
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

// reservationFilter keeps room free that another job's reservation needs.
type reservationFilter struct {
	cell *Cell
}

func (reservationFilter) Name() string { return ReasonReservation }

func (f reservationFilter) Pass(r *Request, w *Worker) bool {
	ok, _ := f.cell.reservationsAllow(r, w)
	return ok
}
