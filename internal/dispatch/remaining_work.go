package dispatch

import "github.com/pistachioport/pistachioport/internal/admission"

// remainingWork returns the estimated work of the occurrence that is not done, in core-seconds.
func (j *job) remainingWork(occurrence int) float64 {
	work := 0.0
	steps := len(j.spec.GetSteps())
	for _, u := range j.units[occurrence*steps : (occurrence+1)*steps] {
		work += float64(u.remaining) * float64(u.size.cpu) / millisPerCore * u.estimate().Seconds()
	}
	return work
}

// millisPerCore converts thousandths of a core.
const millisPerCore = 1000

// remainingWork returns the work of so many of the unit's tasks, with the estimate corrected by the
// ratio.
func (u *unit) remainingWork(tasks int, ratio float64) admission.Amounts {
	return u.size.amounts().Times(float64(tasks) * ratio * u.estimate().Seconds())
}

// amounts returns the resources in the units of package admission.
func (r resources) amounts() admission.Amounts {
	return admission.AmountsOf(r.cpu, r.memory, r.accelerators)
}
