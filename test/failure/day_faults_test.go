package failure_test

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"
)

// Durations of a day's faults.
const (
	dayQuickReturn    = 1500 * time.Millisecond // the longest time that VMs are down which come back at once
	dayMinDisturbance = time.Second
	dayMaxDisturbance = 3 * time.Second
)

// dayFault takes a part of the core down or away. inject returns the number of lost disks, when all is up again.
type dayFault struct {
	name   string
	inject func(*dayCell, *rand.Rand) (lostDisks int)
}

// Faults that lose no disk.
var (
	coreKilled = dayFault{"the core is killed", func(c *dayCell, r *rand.Rand) int {
		c.outage(r, dayOutage{vms: c.vms, damage: maybeTornRecord, down: randomDuration(r, 0, coreDarkTime)})
		return 0
	}}
	coreWithoutPower = dayFault{"the core loses power", func(c *dayCell, r *rand.Rand) int {
		c.outage(r, dayOutage{vms: c.vms, damage: loseUnsyncedWrites, down: randomDuration(r, 0, coreDarkTime)})
		return 0
	}}
	allWithoutPower = dayFault{"the core and all entries lose power", func(c *dayCell, r *rand.Rand) int {
		c.outage(r, dayOutage{vms: c.vms, entries: c.otherEntries(), damage: loseUnsyncedWrites, down: randomDuration(r, 0, coreDarkTime)})
		return 0
	}}
)

// dayFaults are drawn in series.
var dayFaults = []dayFault{
	coreKilled, coreWithoutPower, allWithoutPower,
	{"two VMs lose their disks and are back at once", func(c *dayCell, r *rand.Rand) int {
		wiped := c.pickVMs(r, coreTolerated)
		c.outage(r, dayOutage{vms: wiped, wiped: wiped, down: randomDuration(r, 0, dayQuickReturn)})
		return coreTolerated
	}},
	{"the leader and another VM lose their disks and are back at once", func(c *dayCell, r *rand.Rand) int {
		wiped := c.leaderAndOther(r)
		c.outage(r, dayOutage{vms: wiped, wiped: wiped, down: randomDuration(r, 0, dayQuickReturn)})
		return coreTolerated
	}},
	{"two VMs lose their disks and the others power", func(c *dayCell, r *rand.Rand) int {
		c.outage(r, dayOutage{
			vms: c.vms, wiped: c.pickVMs(r, coreTolerated), damage: loseUnsyncedWrites, down: randomDuration(r, 0, coreDarkTime),
		})
		return coreTolerated
	}},
	{"two VMs are replaced", func(c *dayCell, r *rand.Rand) int {
		for _, i := range r.Perm(len(c.vms))[:coreTolerated] {
			c.replace(i)
		}
		return coreTolerated
	}},
	{"the leader's VM is replaced", func(c *dayCell, _ *rand.Rand) int {
		c.replace(c.leaderVM())
		return 1
	}},
	{"a VM is replaced, and the core loses power", func(c *dayCell, r *rand.Rand) int {
		c.replace(r.Intn(len(c.vms)))
		time.Sleep(randomDuration(r, 0, dayMaxDisturbance))
		c.outage(r, dayOutage{vms: c.vms, damage: loseUnsyncedWrites, down: randomDuration(r, 0, coreDarkTime)})
		return 1
	}},
	{"VMs are drained and stopped, one before the other has ended", func(c *dayCell, r *rand.Rand) int {
		c.stopInTurn(r)
		return 0
	}},
}

// lastDayFaults are the faults after which a day is calm. They follow a publication that was acknowledged or sent.
var lastDayFaults = []dayFault{
	{"two VMs lose their disks", func(c *dayCell, r *rand.Rand) int { return c.loseTwo(r, false, nil, false) }},
	{"two VMs lose their disks, the others of the core power", func(c *dayCell, r *rand.Rand) int {
		return c.loseTwo(r, true, loseUnsyncedWrites, false)
	}},
	{"two VMs lose their disks, all other VMs and entries power", func(c *dayCell, r *rand.Rand) int {
		return c.loseTwo(r, true, loseUnsyncedWrites, true)
	}},
	{"two VMs lose their disks, the others of the core are killed", func(c *dayCell, r *rand.Rand) int {
		return c.loseTwo(r, true, maybeTornRecord, false)
	}},
	coreKilled, coreWithoutPower, allWithoutPower,
}

// dayDisturbances lose nothing. Each returns when it is over.
var dayDisturbances = []dayDisturbance{
	{"the leader is frozen", func(c *dayCell, r *rand.Rand) { c.vms[c.leaderVM()].freeze(randomDisturbance(r)) }},
	{"halves are split", func(c *dayCell, r *rand.Rand) { c.split(r) }},
	{"the leader is heard by nobody", func(c *dayCell, r *rand.Rand) { c.cutOneWay(r, true) }},
	{"the leader hears nobody", func(c *dayCell, r *rand.Rand) { c.cutOneWay(r, false) }},
	{"open connections go silent", func(c *dayCell, r *rand.Rand) {
		for _, i := range r.Perm(len(c.vms))[:1+r.Intn(len(c.vms))] {
			for _, p := range c.vms[i].processes() {
				p.blackholeConnections()
			}
		}
	}},
	{"the seeds are exchanged", (*dayCell).exchangeSeeds},
}

// dayDisturbance is a fault that takes no process down.
type dayDisturbance struct {
	name   string
	inject func(*dayCell, *rand.Rand)
}

func randomDisturbance(r *rand.Rand) time.Duration {
	return randomDuration(r, dayMinDisturbance, dayMaxDisturbance)
}

// maybeTornRecord leaves the end of a torn write on half of the disks, as a kill in the middle of a write does.
func maybeTornRecord(p *soakProcess, r *rand.Rand) {
	if r.Intn(2) == 0 {
		appendTornRecord(p, r)
	}
}

// pickVMs returns some VMs of the core.
func (c *dayCell) pickVMs(r *rand.Rand, count int) []*coreVM {
	var picked []*coreVM
	for _, i := range r.Perm(len(c.vms))[:count] {
		picked = append(picked, c.vms[i])
	}
	return picked
}

// leaderAndOther returns the leader's VM and another one.
func (c *dayCell) leaderAndOther(r *rand.Rand) []*coreVM {
	leader := c.leaderVM()
	other := (leader + 1 + r.Intn(len(c.vms)-1)) % len(c.vms)
	return []*coreVM{c.vms[leader], c.vms[other]}
}

// loseTwo wipes the disks of two VMs, the leader's among them in half of the cases.
func (c *dayCell) loseTwo(r *rand.Rand, othersDown bool, damage func(*soakProcess, *rand.Rand), entriesDown bool) int {
	wiped := c.pickVMs(r, coreTolerated)
	if r.Intn(2) == 0 {
		wiped = c.leaderAndOther(r)
	}
	o := dayOutage{vms: wiped, wiped: wiped, damage: damage, down: randomDuration(r, 0, dayQuickReturn)}
	if othersDown {
		o.vms = c.vms
	}
	if entriesDown {
		o.entries = c.otherEntries()
	}
	c.outage(r, o)
	return coreTolerated
}

// stopInTurn sends SIGTERM to one VM after the other, without waiting for the end of the one before, and starts each again
// when it has ended.
func (c *dayCell) stopInTurn(r *rand.Rand) {
	var ends sync.WaitGroup
	for _, i := range r.Perm(len(c.vms)) {
		for _, p := range c.vms[i].processes() {
			p.faultLock.Lock()
			p.beginFault()
			ends.Go(p.terminate)
		}
		time.Sleep(randomDuration(r, 0, coreStartSpread))
	}
	ends.Wait()
	for _, vm := range c.vms {
		for _, p := range vm.processes() {
			c.checkIncarnation(p)
			c.startAgain(p)
		}
	}
}

// split lets the control processes and entries of some VMs, and some of the other entries, reach only each other for a time.
func (c *dayCell) split(r *rand.Rand) {
	for i, at := range r.Perm(len(c.vms)) {
		for _, p := range c.vms[at].processes() {
			c.links.halves[p.name] = i * 2 / len(c.vms)
		}
	}
	for _, p := range c.otherEntries() {
		c.links.halves[p.name] = r.Intn(2)
	}
	c.disturbLinks(r, c.daemons())
	clear(c.links.halves)
	c.endLinkFault(c.daemons())
}

// cutOneWay drops what the leader's VM sends to the other VMs, or what these send to it, for a time.
func (c *dayCell) cutOneWay(r *rand.Rand, outgoing bool) {
	leader := c.vms[c.leaderVM()]
	var affected []*soakProcess
	for _, vm := range c.vms {
		affected = append(affected, vm.control)
		if vm == leader {
			continue
		}
		path := dayLink{leader.control.name, vm.control.name}
		if !outgoing {
			path = dayLink{path.to, path.from}
		}
		c.links.cut[path] = true
	}
	c.disturbLinks(r, affected)
	clear(c.links.cut)
	c.endLinkFault(affected)
}

// disturbLinks puts the state of the links into force for a time.
func (c *dayCell) disturbLinks(r *rand.Rand, affected []*soakProcess) {
	for _, p := range affected {
		p.beginFault()
	}
	c.links.apply()
	time.Sleep(randomDisturbance(r))
}

// endLinkFault puts the state of the links into force and closes the connections, on which data is missing.
func (c *dayCell) endLinkFault(affected []*soakProcess) {
	c.links.apply()
	c.links.closeConnections(affected)
	for _, p := range affected {
		p.endFault()
	}
}

// logVMShares logs how often the VMs had used up their shares.
func (c *dayCell) logVMShares() {
	var periods, stopped int64
	for _, vm := range c.vms {
		periods += vm.periods.Load()
		stopped += vm.stoppedPeriods.Load()
	}
	c.t.Logf("VMs of the core: share used up in %d of %d periods", stopped, periods)
}

// describe names what was lost, for the log.
func (c *dayCell) describe() string {
	var names []string
	for _, vm := range c.vms {
		names = append(names, vm.control.name)
	}
	slices.Sort(names)
	return fmt.Sprintf("control processes %v, seeds %v", names, c.seeds)
}
