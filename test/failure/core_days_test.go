package failure_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"regexp"
	"slices"
	"sync"
	"testing"
	"time"
)

var (
	daysSeed       = flag.Int64("days.seed", 0, "first seed of TestCoreDays; 0: run the fixed seeds")
	daysCount      = flag.Int("days.count", 1, "number of consecutive seeds to run, from days.seed on")
	daysFaults     = flag.Int("days.faults", 2, "number of faults before the last one")
	daysFaultName  = flag.String("days.fault", "", "draw only the faults whose names match this regular expression")
	daysLastName   = flag.String("days.last", "", "draw only the last faults whose names match this regular expression")
	daysEntries    = flag.Int("days.entries", 2, "number of entries that don't run on VMs of the core")
	daysWorkers    = flag.Int("days.workers", 12, "number of workers")
	daysCallers    = flag.Int("days.callers", 4, "number of callers")
	daysReturning  = flag.Int("days.returning", 20, "number of further callers that begin to call at once after each fault")
	daysCalm       = flag.Duration("days.calm", 5*time.Second, "time after the last fault in which publications must go on")
	daysMaxGap     = flag.Duration("days.maxgap", 9*time.Second, "longest time from the return after a fault to the next fault")
	daysVMShare    = flag.Float64("days.vmshare", 0.64, "share of a core that the processes of a VM of the core may use in each tenth of a second")
	daysEntryShare = flag.Float64("days.entryshare", 0.192, "share of a core that each other entry may use")
)

const (
	dayMinGap = coreCatchUpBound // from the return of what a fault took down to the next fault
	// dayMaxSentBefore is the longest time from the sending of a publication to the last fault.
	dayMaxSentBefore = 30 * time.Millisecond
)

// daySeeds are the seeds that run in CI.
var daySeeds = []int64{7301}

// TestCoreDays exposes a core on VMs of the users' size to days drawn from a seed: outages of the whole core and lost or
// replaced VMs in series, each once the one before may be forgotten, then a fault right after a publication, then calm.
func TestCoreDays(t *testing.T) {
	seeds := daySeeds
	if *daysSeed != 0 {
		seeds = nil
		for i := range int64(*daysCount) {
			seeds = append(seeds, *daysSeed+i)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playDay(t, seed) })
	}
}

// day is one run of a cell.
type day struct {
	*dayCell
	random  *rand.Rand
	client  *http.Client // of the operator
	version int64        // sent last
	rows    []dayRow
	// awaitReturned wait for the ends of callers that came back after faults.
	awaitReturned []func()
}

func playDay(t *testing.T, seed int64) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	size := soakSize{
		controls: coreControls, entries: coreVMCount + *daysEntries, workers: *daysWorkers, tolerated: coreTolerated, entryShare: *daysEntryShare,
		recordsDisks: true,
	}
	c := newDayCell(t, seed, size, *daysVMShare, func(vm *coreVM) { group.Go(func() { vm.limitShare(ctx) }) })
	d := &day{dayCell: c, random: rand.New(rand.NewSource(seed)), client: &http.Client{Timeout: time.Second}}
	for _, w := range c.workers {
		group.Go(func() { w.sendHeartbeats(ctx) })
	}
	await(t, "the cell to form and to serve a configuration", d.publishNext)
	group.Go(func() { c.watch.run(ctx) })
	time.Sleep(coreCatchUpBound)
	callerCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers sync.WaitGroup
	for i := range int64(*daysCallers) {
		callers.Go(func() { c.runCaller(callerCtx, seed*1000+i) })
	}
	led := d.playFaults()
	if led {
		c.keepPublishing(d.publishNext, *daysCalm)
	}
	stopCallers()
	callers.Wait()
	for _, wait := range d.awaitReturned {
		wait()
	}
	if led {
		c.readVersion(d.client)
		c.readUnfinishedJobs()
		c.awaitJobsFinished()
	}
	for _, vm := range c.vms {
		c.checkIncarnation(vm.control)
	}
	t.Log(c.checker.summary())
	c.checkDisksKept()
	c.logVMShares()
	c.logShares()
	t.Logf("seed %d\n%s", seed, dayTable(c.checker.began, d.rows, c.readMembershipChanges()))
	for _, violation := range c.checker.recordedViolations() {
		t.Error(violation)
	}
}

// playFaults injects the faults of the day and the last one. It reports whether there was a leader again after each.
func (d *day) playFaults() bool {
	faults, lastFaults := chosenDayFaults(d.t, dayFaults, *daysFaultName), chosenDayFaults(d.t, lastDayFaults, *daysLastName)
	for range *daysFaults {
		if !d.playFault(pickOne(d.random, faults), d.publishNext) {
			return false
		}
		d.disturb()
		last := &d.rows[len(d.rows)-1]
		time.Sleep(time.Until(last.returned.Add(randomDuration(d.random, dayMinGap, max(dayMinGap+time.Millisecond, *daysMaxGap)))))
		d.endRow()
	}
	led := d.playFault(pickOne(d.random, lastFaults), d.publishBeforeLastFault())
	time.Sleep(coreCatchUpBound)
	d.endRow()
	return led
}

// publishBeforeLastFault draws whether the last publication has been acknowledged when the fault begins.
func (d *day) publishBeforeLastFault() func() bool {
	if d.random.Intn(2) == 0 {
		return func() bool { return holdsWithin(coreRecoveryBound, d.publishNext) }
	}
	wait := randomDuration(d.random, 0, dayMaxSentBefore)
	return func() bool {
		d.version++
		version := d.version
		go func() {
			if d.publish(&http.Client{Timeout: time.Second}, version) {
				d.checker.versionAcknowledged(version)
			}
		}()
		time.Sleep(wait)
		return true
	}
}

// playFault injects a fault after publish and checks that publications go through again. It reports whether one did.
func (d *day) playFault(fault dayFault, publish func() bool) bool {
	random := rand.New(rand.NewSource(d.random.Int63())) // how much is drawn depends on the fault
	d.t.Logf("%7.3f s  %s; %s", time.Since(d.checker.began).Seconds(), fault.name, d.describe())
	publish()
	row := dayRow{fault: fault.name, began: time.Now()}
	row.lostDisks = fault.inject(d.dayCell, random)
	row.returned = time.Now()
	d.awaitReturned = append(d.awaitReturned, d.callersComeBack(random, *daysReturning))
	led := true
	if !holdsWithin(coreRecoveryBound, d.publishNext) {
		d.checker.recordViolation("no publication goes through within %v after: %s", coreRecoveryBound, fault.name)
		if led = holdsWithin(soakRecoveryBound, d.publishNext); !led {
			d.checker.recordViolation("nor within %v more", soakRecoveryBound)
		}
	}
	row.published, row.load = time.Since(row.returned), machineLoad()
	if !led {
		row.published = -1
	}
	d.rows = append(d.rows, row)
	d.t.Logf("%7.3f s  publications go through: %v, %v after the return", time.Since(d.checker.began).Seconds(), led, time.Since(row.returned).Round(time.Millisecond))
	if led {
		d.readVersion(d.client)
	} else {
		d.endRow()
	}
	return led
}

// disturb injects one of dayDisturbances in half of the cases.
func (d *day) disturb() {
	random := rand.New(rand.NewSource(d.random.Int63()))
	if random.Intn(2) == 0 {
		return
	}
	disturbance := pickOne(random, dayDisturbances)
	d.t.Logf("%7.3f s  %s", time.Since(d.checker.began).Seconds(), disturbance.name)
	d.rows[len(d.rows)-1].disturbance = disturbance.name
	disturbance.inject(d.dayCell, random)
}

// endRow completes the last row.
func (d *day) endRow() {
	row := &d.rows[len(d.rows)-1]
	row.ended = time.Now()
	row.noLeader, row.calls = d.watch.without(row.began, row.ended), d.readMemberCalls()
}

// publishNext publishes the next version and reports whether it was acknowledged.
func (d *day) publishNext() bool {
	d.version++
	if !d.publish(d.client, d.version) {
		return false
	}
	d.checker.versionAcknowledged(d.version)
	return true
}

// chosenDayFaults returns the faults whose names match.
func chosenDayFaults(t testing.TB, faults []dayFault, pattern string) []dayFault {
	t.Helper()
	names, err := regexp.Compile(pattern)
	if err != nil {
		t.Fatal(err)
	}
	chosen := slices.DeleteFunc(slices.Clone(faults), func(f dayFault) bool { return !names.MatchString(f.name) })
	if len(chosen) == 0 {
		t.Fatalf("no fault matches %q", pattern)
	}
	return chosen
}
