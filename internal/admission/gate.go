package admission

import "time"

const (
	// maxLoadAge is the age up to which a load counts. No pass takes place while the leadership is not
	// confirmed.
	maxLoadAge = 5 * time.Second
	// minHopelessStart is the expected wait up to which no job is refused: the load is up to a
	// pass old.
	minHopelessStart = time.Second
	// beginContention and endContention are the seconds of capacity that others must have
	// waiting for refusals of jobs over the rate to begin and to go on. Less is what waits for
	// the next pass.
	beginContention = 0.25
	endContention   = 0.05
	// minBusy is the seconds of capacity that wait in a busy pool.
	minBusy = 1.0
)

// beginMargin and endMargin are how clearly a job must be too late for refusals to begin and to go
// on. The first one covers estimates of a late start that are off by half: a job refused in
// error costs its caller all of its value. That a job will be late at all is known better, as the
// work until then has been accepted already.
var (
	beginMargin = margin{onTime: 1.1, late: 1.5}
	endMargin   = margin{onTime: 1, late: 1.1}
)

// refusalKey names jobs of which refusals have begun.
type refusalKey struct {
	reason           Reason
	queue, workspace string
	overRate         bool
}

// Gate decides on the new jobs of a pool. Jobs are accepted until a load is known.
type Gate struct {
	load     *Load
	loadAt   time.Time // when the load was set
	inflow   *inflow
	refusing map[refusalKey]bool
	refusals int // number of jobs refused as hopeless
	// busySince is since when work of minBusy has waited; zero: less waits.
	busySince time.Time
}

// NewGate returns a gate without a load.
func NewGate() *Gate { return &Gate{inflow: newInflow(), refusing: make(map[refusalKey]bool)} }

// SetLoad sets the load after a scheduling pass. The gate changes it when it accepts jobs.
func (g *Gate) SetLoad(now time.Time, l *Load) {
	g.load, g.loadAt = l, now
	g.inflow.update(now, l.capacity)
	switch {
	case !l.known || l.waitingTime() < minBusy:
		g.busySince = time.Time{}
	case g.busySince.IsZero():
		g.busySince = now
	}
	if !l.known || l.isEmpty() {
		clear(g.refusing)
	}
}

// Decide decides on a new job. A job that is accepted within its rate takes a token; a refused
// one takes none. A nil gate knows no load.
func Decide(now time.Time, j *Job, rates *Rates, g *Gate) Decision {
	var b *bucket
	if j.Rated {
		b = rates.bucketOf(now, j.Workspace, j.Rate)
	}
	d := Decision{OverRate: b != nil && !b.withinRate()}
	if g.known(now) {
		g.judge(now, j, b, &d)
	}
	if !d.Refused() && b != nil && !d.OverRate {
		b.tokens--
	}
	return d
}

// known reports whether the load is known. A nil gate knows none.
func (g *Gate) known(now time.Time) bool {
	return g != nil && g.load != nil && g.load.known && now.Sub(g.loadAt) <= maxLoadAge
}

// judge decides on a job by the load.
func (g *Gate) judge(now time.Time, j *Job, b *bucket, d *Decision) {
	estimate := g.load.expectedStart(j, d.OverRate, g.inflow, g.inflowLasts(now))
	d.Start = seconds(estimate.start(j))
	switch {
	case g.load.hasRoom(j):
		d.Start = 0
	case d.OverRate && g.contended(j):
		d.Reason, d.RetryAfter = RefusedRate, b.retryAfter(now)
		return
	case g.hopeless(j, estimate, d.OverRate):
		g.refusals++
		backlog := min(seconds(estimate.backlog), maxHopelessRetry)
		d.Reason, d.RetryAfter = RefusedTooLate, min(max(spread(backlog, g.refusals), MinRetry), maxHopelessRetry)
		return
	}
	g.load.accept(j, d.OverRate)
	g.inflow.add(j, d.OverRate)
}

// inflowLasts returns for how many seconds the inflow is expected to last: for as long as it has
// kept the pool busy. A burst that has just begun may be over soon.
func (g *Gate) inflowLasts(now time.Time) float64 {
	if g.busySince.IsZero() {
		return 0
	}
	return max(0, now.Sub(g.busySince).Seconds())
}

// contended reports whether so much of others waits that jobs of the workspace over its rate are
// refused.
func (g *Gate) contended(j *Job) bool {
	wait := g.load.othersWait(j)
	return g.threshold(refusalKey{reason: RefusedRate, workspace: j.Workspace}, wait > beginContention, wait > endContention)
}

// hopeless reports whether the job is expected to start too late.
func (g *Gate) hopeless(j *Job, estimate startEstimate, overRate bool) bool {
	if j.Unlimited {
		return false
	}
	key := refusalKey{reason: RefusedTooLate, queue: j.Queue, workspace: j.Workspace, overRate: overRate}
	return g.threshold(key, estimate.hopeless(j, beginMargin), estimate.hopeless(j, endMargin))
}

// threshold applies the hysteresis: refusals begin if begins holds, and go on while goesOn does.
func (g *Gate) threshold(key refusalKey, begins, goesOn bool) bool {
	refuse := begins || (g.refusing[key] && goesOn)
	if refuse {
		g.refusing[key] = true
	} else {
		delete(g.refusing, key)
	}
	return refuse
}
