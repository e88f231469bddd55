package dispatch

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/admission"
)

const (
	// MinAdmissionRetry and maxAdmissionRetry bound the time after which a refused caller should
	// come back.
	MinAdmissionRetry = admission.MinRetry
	maxAdmissionRetry = 5 * time.Second
	// maxCulpritFactor bounds the jobs that wait for a further trial, as a multiple of the trial
	// workers: their callers are to be told soon that they are given up.
	maxCulpritFactor = 2
)

// Admission is the decision on a new job.
type Admission struct {
	Refused    bool
	Reason     RefusalReason // of a refused job
	RetryAfter time.Duration // when a refused caller should come back
	OverRate   bool          // the job is beyond the rate of its workspace
	Binding    bool          // it holds for all copies of the call
	// ExpectedWait is the time until the expected start of a job that was judged by the load.
	ExpectedWait time.Duration
}

// RefusalReason is why a new job is refused, as it is named in the log and in the metrics.
type RefusalReason string

// Reasons for refusals.
const (
	RefusedTrial RefusalReason = "trial" // too many jobs of a queue that crashes workers wait for a trial
	RefusedRate  RefusalReason = "rate"  // beyond the rate of its workspace, while others wait
	RefusedLate  RefusalReason = "late"  // expected to start so late that it would have no value
)

// Admit decides whether a new job is accepted. A job of a contained queue is refused if so many
// others wait for a trial that it would have no value any more once it has run, or if too many are
// expected to need a further trial. As many jobs as there may be trial workers are accepted however
// long they wait for the first trial, so that no trial worker is idle. Other jobs are decided on by
// admitByLoad.
//
// Load pattern: a queue whose tasks crash workers faster than these come back. All of its jobs
// would be accepted and wait, each longer than the one before, also after the last such task.
func (d *Dispatcher) Admit(submitted *apiv1.CallerJob) Admission {
	admission := d.admit(submitted)
	if admission.Refused {
		d.counters.refusedForTrials.Inc(1)
		d.ledger.countRefused(submitted.GetWorkspace())
	}
	return admission
}

// admit is Admit without the counts.
func (d *Dispatcher) admit(submitted *apiv1.CallerJob) Admission {
	queue := submitted.GetQueue()
	d.mu.Lock()
	p := d.pools[queue.GetService()]
	d.mu.Unlock()
	if p == nil {
		return d.admitByRate(submitted)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	c := p.containments[queue.GetName()]
	if !c.active(now) {
		return p.admitByLoad(submitted, now)
	}
	j := newJob(&apiv1.JobProgress{Job: submitted}, now, submitted.GetAcceptedUnixMs())
	if admission := c.admit(now, lateObjectiveFactor*j.objective-j.criticalPath()); admission.Refused {
		d.counters.jobsRefused[RefusedTrial].Inc(1)
		return admission
	}
	return p.admitByLoad(submitted, now)
}

// admit decides on a new job that may wait for so long. An accepted one counts as waiting until
// the next pass has counted anew. None is accepted before the first pass: a new leader would accept
// as many as if no job of its predecessor waited.
func (c *containment) admit(now time.Time, maxWait time.Duration) Admission {
	if !c.counted {
		return Admission{Refused: true, Reason: RefusedTrial, RetryAfter: MinAdmissionRetry}
	}
	rate := c.testRate(now)
	wait := float64(c.waiting+1) / rate
	tooMany := c.waiting >= c.trialLimit && wait > maxWait.Seconds()
	if tooMany || c.expectedCulprits() > float64(maxCulpritFactor*c.trialLimit) {
		retryAfter := time.Duration(wait * float64(time.Second))
		return Admission{Refused: true, Reason: RefusedTrial, RetryAfter: min(max(retryAfter, MinAdmissionRetry), maxAdmissionRetry)}
	}
	c.waiting++
	return Admission{}
}

// expectedCulprits returns how many units wait for a further trial, or will if first trials go on to end as lately. They
// get trial workers after the units that wait for their first trial.
func (c *containment) expectedCulprits() float64 {
	if c.rate == 0 {
		return float64(c.culprits)
	}
	return float64(c.culprits) + float64(c.waiting)*c.culpritRate/c.rate
}

// recordTested records that a job of the queue is known to be harmless, or a likely culprit.
func (c *containment) recordTested(culprit bool, now time.Time) {
	c.testRate(now)
	c.tested++
	c.testedCulprits += count(culprit)
}

const (
	// testRateWindow is the time over which tested jobs are counted for one value of the rate,
	// testRateWeight that value's weight in the moving average.
	testRateWindow = time.Second
	testRateWeight = 0.5
	// minTestRate keeps a queue from being closed when no trial has ended for a while.
	minTestRate = 2.0
)

// testRate returns the moving average of the jobs tested in a second.
func (c *containment) testRate(now time.Time) float64 {
	if c.windowStart.IsZero() {
		c.windowStart = now
	}
	for now.Sub(c.windowStart) >= testRateWindow {
		c.rate += testRateWeight * (float64(c.tested) - c.rate)
		c.culpritRate += testRateWeight * (float64(c.testedCulprits) - c.culpritRate)
		c.tested, c.testedCulprits = 0, 0
		c.windowStart = c.windowStart.Add(testRateWindow)
	}
	return max(minTestRate, c.rate)
}
