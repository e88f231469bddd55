package admission

import (
	"math"
	"time"
)

const (
	// inflowPeriod is the time constant of the moving average of the inflow, in seconds.
	inflowPeriod = 5.0
	// negligibleShare is the share of the capacity below which a workspace's inflow is dropped.
	negligibleShare = 1e-4
)

// inflow is the work accepted in a second, as a moving average.
type inflow struct {
	urgent     Amounts // of urgent jobs, within their rates
	withinRate Amounts // of all jobs within their rates
	overRate   Amounts
	workspaces map[string]Amounts // within their rates
	since      inflowCount
	at         time.Time // when the averages were last brought up to date
}

// inflowCount is the work accepted since then.
type inflowCount struct {
	urgent, withinRate, overRate Amounts
	workspaces                   map[string]Amounts
}

func newInflow() *inflow {
	return &inflow{workspaces: make(map[string]Amounts), since: inflowCount{workspaces: make(map[string]Amounts)}}
}

// add counts an accepted job.
func (f *inflow) add(j *Job, overRate bool) {
	if overRate {
		f.since.overRate = f.since.overRate.Plus(j.Work)
		return
	}
	if j.Band == BandUrgent {
		f.since.urgent = f.since.urgent.Plus(j.Work)
	}
	f.since.withinRate = f.since.withinRate.Plus(j.Work)
	if j.Workspace != "" {
		f.since.workspaces[j.Workspace] = f.since.workspaces[j.Workspace].Plus(j.Work)
	}
}

// update brings the averages up to date.
func (f *inflow) update(now time.Time, capacity Amounts) {
	elapsed := now.Sub(f.at).Seconds()
	if f.at.IsZero() {
		f.at = now
		return
	}
	if elapsed <= 0 {
		return
	}
	kept := math.Exp(-elapsed / inflowPeriod)
	average := func(old, counted Amounts) Amounts {
		return old.Times(kept).Plus(counted.Times((1 - kept) / elapsed))
	}
	f.urgent = average(f.urgent, f.since.urgent)
	f.withinRate = average(f.withinRate, f.since.withinRate)
	f.overRate = average(f.overRate, f.since.overRate)
	for workspace := range f.since.workspaces {
		if _, known := f.workspaces[workspace]; !known {
			f.workspaces[workspace] = Amounts{}
		}
	}
	for workspace, old := range f.workspaces {
		updated := average(old, f.since.workspaces[workspace])
		if updated.dominantShare(capacity) < negligibleShare {
			delete(f.workspaces, workspace)
			continue
		}
		f.workspaces[workspace] = updated
	}
	f.since = inflowCount{workspaces: make(map[string]Amounts)}
	f.at = now
}

// before returns the inflow that is placed before the job while it is on time, and once it is
// late. A job that is late waits also for those that are accepted after it.
func (f *inflow) before(j *Job, overRate bool) (onTime, late Amounts) {
	if j.Band == BandUrgent {
		return Amounts{}, f.urgent
	}
	late = f.withinRate
	if overRate {
		late = late.Plus(f.overRate)
	}
	return f.urgent, late
}
