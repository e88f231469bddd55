package dispatch

import (
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/admission"
)

// workspaceRates holds the rates of the workspaces, which all pools share. Its lock is taken after
// that of a pool.
type workspaceRates struct {
	mu    sync.Mutex
	rates *admission.Rates
}

// newWorkspaceRates returns rates of which nothing was used in the window.
func newWorkspaceRates(window time.Duration) *workspaceRates {
	return &workspaceRates{rates: admission.NewRates(window)}
}

// decide decides on a new job.
func (w *workspaceRates) decide(now time.Time, j *admission.Job, gate *admission.Gate) admission.Decision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return admission.Decide(now, j, w.rates, gate)
}

// rateOf returns the rate of the job's workspace, and whether it has one: it does unless it is not
// in the catalog in force.
func (d *Dispatcher) rateOf(submitted *apiv1.CallerJob) (rate float64, rated bool) {
	workspace := d.workspace(submitted.GetWorkspace())
	return workspace.GetWeight(), workspace != nil
}

// workspace returns the workspace of the catalog in force, or nil.
func (d *Dispatcher) workspace(name string) *apiv1.Workspace {
	if name == "" {
		return nil
	}
	return d.Table.Catalog().Workspace(name)
}

// admitByRate decides on a job of a service that has neither workers nor jobs yet, so that only
// the rate counts.
func (d *Dispatcher) admitByRate(submitted *apiv1.CallerJob) Admission {
	if !d.AdmitsByLoad {
		return Admission{}
	}
	j := &admission.Job{Queue: submitted.GetQueue().GetName(), Workspace: submitted.GetWorkspace()}
	j.Rate, j.Rated = d.rateOf(submitted)
	return d.admissionOf(d.rates.decide(time.Now(), j, nil))
}

// refusalReasons holds the names of the reasons of package admission.
var refusalReasons = map[admission.Reason]RefusalReason{
	admission.RefusedRate:    RefusedRate,
	admission.RefusedTooLate: RefusedLate,
}

// admissionOf converts and counts a decision.
func (d *Dispatcher) admissionOf(decision admission.Decision) Admission {
	result := Admission{
		Refused: decision.Refused(), Reason: refusalReasons[decision.Reason], RetryAfter: decision.RetryAfter,
		OverRate: decision.OverRate, Binding: true, ExpectedWait: decision.Start,
	}
	switch {
	case result.Refused:
		d.counters.jobsRefused[result.Reason].Inc(1)
	case result.OverRate:
		d.counters.jobsOverRate.Inc(1)
	}
	return result
}
