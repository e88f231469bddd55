package failure_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// diskBacklogTime bounds the time for which syncs hang before a loss of power.
const diskBacklogTime = 2 * time.Second

// coreDiskFaults impair disks, as many at a time as may be lost, or take the power while writes wait for their sync.
var coreDiskFaults = []soakFault{
	{"the syncs of as many disks hang as is tolerated", func(c *soakCell, r *rand.Rand) {
		c.impairDisks(r, c.pickTolerated(r), diskHangs, func() {})
	}},
	{"as many disks refuse writes as is tolerated", func(c *soakCell, r *rand.Rand) {
		c.impairDisks(r, c.pickTolerated(r), diskRefuses, func() {})
	}},
	{"as many disks are full as is tolerated", func(c *soakCell, r *rand.Rand) {
		c.impairDisks(r, c.pickTolerated(r), diskIsFull, func() {})
	}},
	{"a process is killed while another disk is impaired", func(c *soakCell, r *rand.Rand) {
		picked := c.pickTolerated(r)
		c.impairDisks(r, picked[1:], drawImpairment(r), func() { c.killTogether(r, picked[:1], nil, coreStartSpread) })
	}},
	{"a lost disk is replaced while another is impaired", func(c *soakCell, r *rand.Rand) {
		picked := c.pickTolerated(r)
		c.impairDisks(r, picked[1:], drawImpairment(r), func() { c.killTogether(r, picked[:1], picked[:1], coreStartSpread) })
	}},
	{"all lose power while all syncs hang", func(c *soakCell, r *rand.Rand) {
		c.losePowerWithBacklog(r, nil)
	}},
	{"all lose power while all syncs hang, and as many lose their disks as is tolerated", func(c *soakCell, r *rand.Rand) {
		c.losePowerWithBacklog(r, c.pickTolerated(r))
	}},
	{"all are killed while names wait for their sync, and lose power", func(c *soakCell, r *rand.Rand) {
		c.losePowerAfterUnsyncedNames(r, c.pickTolerated(r))
	}},
	{"all lose power while as many disks are impaired as is tolerated", func(c *soakCell, r *rand.Rand) {
		c.impairDisks(r, c.pickTolerated(r), drawImpairment(r), func() {
			c.wait(randomDuration(r, 0, diskBacklogTime))
			c.outage(r, c.daemons(), nil, loseUnsyncedWrites, coreStartSpread)
		})
	}},
}

// coreDiskSeeds are the seeds that run in CI. The first begins with a loss of power of everything while syncs hang and as many
// disks are lost as is tolerated, the second with names that wait for their sync.
var coreDiskSeeds = []int64{63, 70}

// TestCoreDiskFaultsInSeries is TestCoreFaultsInSeries with the faults of disks.
func TestCoreDiskFaultsInSeries(t *testing.T) {
	for _, seed := range chosenCoreSeeds(coreDiskSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soakCore(t, seed, coreDiskFaults) })
	}
}

func drawImpairment(r *rand.Rand) diskImpairment {
	return pickOne(r, []diskImpairment{diskHangs, diskRefuses, diskIsFull})
}

// impairDisks impairs the processes' disks, runs the further fault, and mends the disks once a publication went through, or
// should have, and a drawn time has passed.
func (c *soakCell) impairDisks(r *rand.Rand, impaired []*soakProcess, impairment diskImpairment, further func()) {
	for _, p := range impaired {
		p.beginFault()
		p.impairDisk(impairment)
	}
	further()
	duration := randomDuration(r, 0, soakMaxFaultTime)
	began := time.Now()
	if !holdsWithin(coreRecoveryBound, c.publishNext) {
		c.checker.recordViolation("no publication goes through within %v while %d disks are impaired: %s", coreRecoveryBound, len(impaired), impairment)
	}
	c.t.Logf("%7.3f s  with %d impaired disks (%s) a publication took %v", time.Since(c.checker.began).Seconds(), len(impaired), impairment, time.Since(began).Round(time.Millisecond))
	c.wait(duration)
	for _, p := range impaired {
		p.impairDisk(diskWorks)
		p.endFault()
	}
}

// losePowerWithBacklog takes the power from everything while no sync returns, so that writes wait for theirs.
func (c *soakCell) losePowerWithBacklog(r *rand.Rand, wiped []*soakProcess) {
	for _, p := range c.control {
		p.impairDisk(diskHangs)
	}
	c.wait(randomDuration(r, 0, diskBacklogTime))
	c.outage(r, c.daemons(), wiped, func(p *soakProcess, r *rand.Rand) {
		if p.servesControl() {
			p.impairDisk(diskWorks)
		}
		loseUnsyncedWrites(p, r)
	}, coreDarkTime)
}

// losePowerAfterUnsyncedNames kills everything while no sync of a folder returns, so that the next processes find names that
// are not durable, and takes the power from these. The wiped ones create their identities meanwhile.
func (c *soakCell) losePowerAfterUnsyncedNames(r *rand.Rand, wiped []*soakProcess) {
	for _, p := range c.control {
		p.impairDisk(namesHang)
	}
	c.killTogether(r, wiped, wiped, coreStartSpread)
	c.wait(randomDuration(r, 0, diskBacklogTime))
	c.outage(r, c.control, nil, func(p *soakProcess, _ *rand.Rand) { p.impairDisk(diskWorks) }, coreStartSpread)
	c.wait(randomDuration(r, 0, diskBacklogTime))
	c.outage(r, c.daemons(), nil, loseUnsyncedWrites, coreDarkTime)
}
