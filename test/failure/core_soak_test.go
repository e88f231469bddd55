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
	coreSeed      = flag.Int64("core.seed", 0, "first seed of TestCoreFaultsInSeries; 0: run the fixed seeds")
	coreSeedCount = flag.Int("core.count", 1, "number of consecutive seeds to run, from core.seed on")
	coreRounds    = flag.Int("core.rounds", 2, "number of faults of the core, one after the other")
	coreEntries   = flag.Int("core.entries", 4, "number of entries")
	coreWorkers   = flag.Int("core.workers", 12, "number of workers")
	coreCallers   = flag.Int("core.callers", 4, "number of callers")
	coreReturning = flag.Int("core.returning", 0, "number of further callers that begin to call at once after each fault")
	coreFaultName = flag.String("core.fault", "", "draw only the faults whose names match this regular expression")
	corePause     = flag.Duration("core.pause", 0, "least time from a publication after a fault to the next fault")
	coreCalm      = flag.Duration("core.calm", 0, "time after the last fault in which publications must go on")
	coreLinkDelay = flag.Duration("core.linkdelay", 0, "delay of the links between daemons, in each direction")

	coreControlShare = flag.Float64("core.controlshare", 0, "share of a core that a control process may use in each tenth of a second; 0: any")
	coreEntryShare   = flag.Float64("core.entryshare", 0, "share of a core that an entry may use in each tenth of a second; 0: any")
)

const (
	coreControls  = 6 // five voters and a spare
	coreTolerated = 2
	coreDarkTime  = 9500 * time.Millisecond // the longest time that processes are down
	// coreCatchUpBound is the time after a fault within which the core must be able to bear the next one.
	coreCatchUpBound = 6 * time.Second
	// coreRecoveryBound is the time after a fault within which the users' bounds (recovery_s) demand that configurations are
	// accepted again.
	coreRecoveryBound = 12 * time.Second
	coreStartSpread   = 500 * time.Millisecond // between the starts of processes that were down together
)

// coreFaults hit as much of the core at once as the platform does. Each returns when all processes are up.
var coreFaults = []soakFault{
	{"all control processes are killed in the middle of a write", func(c *soakCell, r *rand.Rand) {
		c.killTogether(r, c.control, nil, coreDarkTime)
	}},
	{"as many lose their disks as is tolerated", func(c *soakCell, r *rand.Rand) {
		wiped := c.pickTolerated(r)
		c.killTogether(r, wiped, wiped, coreDarkTime)
	}},
	{"as many lose their disks as is tolerated, and the others are killed", func(c *soakCell, r *rand.Rand) {
		c.killTogether(r, c.control, c.pickTolerated(r), coreDarkTime)
	}},
	{"one loses its disk after the other", func(c *soakCell, r *rand.Rand) {
		for _, p := range c.pickTolerated(r) {
			wiped := []*soakProcess{p}
			c.killTogether(r, wiped, wiped, coreDarkTime)
			time.Sleep(coreCatchUpBound)
		}
	}},
	{"VMs are replaced one after the other", func(c *soakCell, r *rand.Rand) {
		for range coreTolerated + 1 {
			c.replaceVM(r.Intn(len(c.control)), len(c.control)+len(c.lostVMs))
			time.Sleep(coreCatchUpBound)
		}
	}},
	{"as many lose their disks as is tolerated, and all are killed while these are replaced", func(c *soakCell, r *rand.Rand) {
		wiped := c.pickTolerated(r)
		c.killTogether(r, wiped, wiped, soakMaxFaultTime)
		c.killWhileReplaced(r)
	}},
	{"a VM is replaced, and all are killed meanwhile", func(c *soakCell, r *rand.Rand) {
		c.replaceVM(r.Intn(len(c.control)), len(c.control)+len(c.lostVMs))
		c.killWhileReplaced(r)
	}},
	{"as many lose their disks as is tolerated, and the others lose power", func(c *soakCell, r *rand.Rand) {
		c.outage(r, c.control, c.pickTolerated(r), loseUnsyncedWrites, coreDarkTime)
	}},
	{"all control processes and entries lose power", func(c *soakCell, r *rand.Rand) {
		c.outage(r, c.daemons(), nil, loseUnsyncedWrites, coreDarkTime)
	}},
	{"as many lose their disks as is tolerated, and all others and the entries lose power", func(c *soakCell, r *rand.Rand) {
		c.outage(r, c.daemons(), c.pickTolerated(r), loseUnsyncedWrites, coreDarkTime)
	}},
	{"all are restarted in turn", func(c *soakCell, _ *rand.Rand) {
		for _, p := range c.control {
			c.restart(p)
			time.Sleep(coreStartSpread)
		}
	}},
}

// coreSeeds are the seeds that run in CI. The second begins with a loss of power of everything with as many disks lost as is
// tolerated.
var coreSeeds = []int64{61, 66}

// TestCoreFaultsInSeries exposes a core of five voters and a spare to faults that hit most of it, each once the one before
// is over for as long as the core may take to catch up. A publication must go through after each, and all
// accepted jobs must be finished after the last.
func TestCoreFaultsInSeries(t *testing.T) {
	for _, seed := range chosenCoreSeeds(coreSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soakCore(t, seed, coreFaults) })
	}
}

// chosenCoreSeeds returns the seeds that the flags name, or the fixed ones.
func chosenCoreSeeds(fixed []int64) []int64 {
	if *coreSeed == 0 {
		return fixed
	}
	var seeds []int64
	for i := range int64(*coreSeedCount) {
		seeds = append(seeds, *coreSeed+i)
	}
	return seeds
}

// soakCore exposes a core to the faults, as drawn from the seed.
func soakCore(t *testing.T, seed int64, drawn []soakFault) {
	c := newSizedSoakCell(t, seed, soakSize{
		controls: coreControls, entries: *coreEntries, workers: *coreWorkers, tolerated: coreTolerated,
		linkDelay: *coreLinkDelay, controlShare: *coreControlShare, entryShare: *coreEntryShare,
		recordsDisks: true,
	}, 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	for _, w := range c.workers {
		group.Go(func() { w.sendHeartbeats(ctx) })
	}
	client := &http.Client{Timeout: time.Second}
	version := int64(0)
	publishes := func() bool {
		version++
		if !c.publish(client, version) {
			return false
		}
		c.checker.versionAcknowledged(version)
		return true
	}
	c.publishNext = publishes
	await(t, "the cell to form and to serve a configuration", publishes)
	time.Sleep(coreCatchUpBound)
	callerCtx, stopCallers := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range int64(*coreCallers) {
		callers.Go(func() { c.runCaller(callerCtx, seed*1000+i) })
	}
	random := rand.New(rand.NewSource(seed))
	faults := chosenCoreFaults(t, drawn)
	led := true // there is a leader again after each fault
	for range *coreRounds {
		fault := pickOne(random, faults)
		t.Logf("%7.3f s  %s", time.Since(c.checker.began).Seconds(), fault.name)
		publishes()
		fault.inject(c, random)
		calm := time.Now()
		waitForReturned := c.callersComeBack(random, *coreReturning)
		recovers := c.readsThenPublishes(client, publishes)
		if !holdsWithin(coreRecoveryBound, recovers) {
			c.checker.recordViolation("no publication goes through within %v after: %s", coreRecoveryBound, fault.name)
			led = holdsWithin(soakRecoveryBound, recovers)
		}
		if !led {
			c.checker.recordViolation("nor within %v more", soakRecoveryBound)
			waitForReturned()
			break
		}
		t.Logf("%7.3f s  a publication went through after %v", time.Since(c.checker.began).Seconds(), time.Since(calm).Round(time.Millisecond))
		c.readVersion(client)
		waitForReturned()
		time.Sleep(max(time.Until(calm.Add(coreCatchUpBound)), *corePause))
	}
	if led {
		c.keepPublishing(publishes, *coreCalm)
	}
	stopCallers()
	callers.Wait()
	if led { // without a leader no job is finished, and each costs the time limits of many calls
		c.readUnfinishedJobs()
		c.awaitJobsFinished()
	}
	cancel()
	group.Wait()
	t.Log(c.checker.summary())
	t.Log(c.checker.cancelSummary())
	c.logShares()
	c.checkDisksKept()
	for _, violation := range c.checker.recordedViolations() {
		t.Error(violation)
	}
}

// pickTolerated returns as many control processes as may be lost at a time.
func (c *soakCell) pickTolerated(r *rand.Rand) []*soakProcess {
	var picked []*soakProcess
	for _, i := range r.Perm(len(c.control))[:coreTolerated] {
		picked = append(picked, c.control[i])
	}
	return picked
}

// killWhileReplaced kills all control processes some times while lost members are replaced.
func (c *soakCell) killWhileReplaced(r *rand.Rand) {
	for range 1 + r.Intn(3) {
		c.wait(randomDuration(r, 0, 2*time.Second))
		c.killTogether(r, c.control, nil, time.Second)
	}
}

// killTogether kills the processes at once, removes the data of some of them, leaves the end of a torn write on the disks of
// some, and starts them in random order after darkTime at most.
func (c *soakCell) killTogether(r *rand.Rand, killed, wiped []*soakProcess, darkTime time.Duration) {
	c.outage(r, killed, wiped, func(p *soakProcess, r *rand.Rand) {
		if r.Intn(2) == 0 {
			appendTornRecord(p, r)
		}
	}, darkTime)
}

// outage kills the processes at once, damages the data of each as given, removes the data of some of them, and starts them in
// random order after darkTime at most.
func (c *soakCell) outage(
	r *rand.Rand, killed, wiped []*soakProcess, damage func(*soakProcess, *rand.Rand), darkTime time.Duration,
) {
	var group sync.WaitGroup
	for _, p := range killed {
		p.faultLock.Lock()
		defer p.faultLock.Unlock()
		p.beginFault()
		group.Go(p.killAndWait)
	}
	group.Wait()
	for _, p := range killed {
		damage(p, rand.New(rand.NewSource(r.Int63()))) // how much is drawn depends on the files; the faults that follow must not
	}
	for _, p := range wiped {
		removeDataDir(p, r)
	}
	c.wait(randomDuration(r, 0, darkTime))
	for _, i := range r.Perm(len(killed)) {
		killed[i].writeSettingsAndStart(false)
		killed[i].endFault()
		c.wait(randomDuration(r, 0, coreStartSpread/time.Duration(len(killed))))
	}
}

// chosenCoreFaults returns the faults of the list that the flag core.fault names.
func chosenCoreFaults(t testing.TB, list []soakFault) []soakFault {
	t.Helper()
	names, err := regexp.Compile(*coreFaultName)
	if err != nil {
		t.Fatal(err)
	}
	chosen := slices.DeleteFunc(slices.Clone(list), func(f soakFault) bool { return !names.MatchString(f.name) })
	if len(chosen) == 0 {
		t.Fatalf("no fault matches %q", *coreFaultName)
	}
	return chosen
}
