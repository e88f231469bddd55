package failure_test

import (
	"encoding/binary"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	coreVMCount    = coreControls
	firstSuccessor = 100 // index of the first VM that replaces another one
	identityAt     = 13  // of the incarnation in the file of the identity, behind the record's header
	dayStartSpread = coreStartSpread / coreVMCount
)

// dayRegions are the regions of the VMs, in turn.
var dayRegions = []string{"r1", "r2", "r3"}

// dayCell is a cell whose core runs on VMs, each with a control process and an entry, beside entries of their own.
type dayCell struct {
	*soakCell
	vms          []*coreVM
	links        *dayLinks
	watch        *leaderWatch
	successors   int
	startVM      func(*coreVM)     // begins to limit its processor time
	incarnations map[string]uint64 // by name of the control process; none: its disk was lost
	lost         lostDisks
	silent       map[string][]*silentPort // of entries that run on no VM of the core and have no power, by name
}

func newDayCell(t testing.TB, seed int64, size soakSize, vmShare float64, startVM func(*coreVM)) *dayCell {
	t.Helper()
	c := &dayCell{
		soakCell: newUnstartedSoakCell(t, seed, size, 0), startVM: startVM, incarnations: make(map[string]uint64),
		silent: make(map[string][]*silentPort),
	}
	c.links, c.watch = newDayLinks(c.soakCell), newLeaderWatch(c.soakCell)
	for i, p := range c.entries {
		c.links.add(p, dayPlace{dayRegions[i%len(dayRegions)], i < coreVMCount})
	}
	for i, p := range c.control {
		entry := c.entries[i]
		entry.share = 0 // the VM has one for both
		c.links.add(p, dayPlace{dayRegions[i%len(dayRegions)], true})
		c.vms = append(c.vms, &coreVM{control: p, entry: entry, share: vmShare})
	}
	t.Cleanup(func() {
		for _, vm := range c.vms {
			vm.freePorts()
		}
	})
	c.links.apply()
	c.startDaemons()
	for _, vm := range c.vms {
		startVM(vm)
	}
	return c
}

// otherEntries returns the entries that run on no VM of the core.
func (c *dayCell) otherEntries() []*soakProcess { return c.currentEntries()[coreVMCount:] }

// dayOutage is a fault that takes VMs down and brings them back.
type dayOutage struct {
	vms     []*coreVM
	wiped   []*coreVM // of them, those that lose their disks
	entries []*soakProcess
	damage  func(*soakProcess, *rand.Rand) // of the disks of all; nil: none
	down    time.Duration
}

// outage takes the VMs and entries down at once, and starts them in random order after the time.
func (c *dayCell) outage(r *rand.Rand, o dayOutage) {
	processes := slices.Clone(o.entries)
	for _, vm := range o.vms {
		processes = append(processes, vm.processes()...)
	}
	c.powerOff(processes)
	for _, p := range processes { // in a fixed order, as each draws
		c.checkIncarnation(p)
		damageRandom := rand.New(rand.NewSource(r.Int63()))
		if o.damage != nil && p.servesControl() {
			o.damage(p, damageRandom)
		}
	}
	c.loseDisks(len(o.wiped))
	for _, vm := range o.wiped {
		removeDataDir(vm.control, r)
		delete(c.incarnations, vm.control.name)
	}
	for _, vm := range o.vms {
		vm.holdPorts()
	}
	for _, p := range o.entries {
		c.silent[p.name] = p.holdPorts()
	}
	time.Sleep(o.down)
	c.powerOn(r, o.vms, o.entries)
	c.lost.returned(time.Now())
}

// loseDisks records the loss of disks; a day that loses more than is tolerated shows nothing.
func (c *dayCell) loseDisks(count int) {
	if !c.lost.lose(time.Now(), count) {
		c.checker.recordViolation("the day is wrong: more disks are lost at a time than is tolerated")
	}
}

// powerOff kills the processes at once. Nothing that they have sent last arrives, and their addresses don't respond.
func (c *dayCell) powerOff(processes []*soakProcess) {
	for _, p := range processes {
		p.faultLock.Lock()
		p.beginFault()
		c.links.off[p.name] = true
	}
	c.links.apply()
	var group sync.WaitGroup
	for _, p := range processes {
		group.Go(p.killAndWait)
	}
	group.Wait()
}

// powerOn starts the VMs and the entries in random order.
func (c *dayCell) powerOn(r *rand.Rand, vms []*coreVM, entries []*soakProcess) {
	for _, i := range r.Perm(len(vms)) {
		vms[i].freePorts()
		for _, p := range vms[i].processes() {
			c.startAgain(p)
		}
		time.Sleep(randomDuration(r, 0, dayStartSpread))
	}
	for _, i := range r.Perm(len(entries)) {
		p := entries[i]
		for _, port := range c.silent[p.name] {
			port.close()
		}
		delete(c.silent, p.name)
		c.startAgain(p)
	}
}

func (c *dayCell) startAgain(p *soakProcess) {
	delete(c.links.off, p.name)
	c.links.apply()
	p.link.CloseConnections() // a machine that has started again knows none
	p.writeSettingsAndStart(false)
	p.endFault()
	p.faultLock.Unlock()
}

// replace removes a VM permanently and starts an empty one with another name and address.
func (c *dayCell) replace(index int) {
	gone := c.vms[index]
	c.loseDisks(1)
	c.powerOff(gone.processes())
	for _, p := range gone.processes() {
		c.checkIncarnation(p)
	}
	delete(c.incarnations, gone.control.name)
	time.Sleep(successorDelay)
	at := firstSuccessor + c.successors
	c.successors++
	vm := &coreVM{control: c.newProcess("control", at), entry: c.newProcess("entry", at), share: gone.share}
	vm.entry.share = 0
	place := dayPlace{gone.control.region, true}
	for i, p := range vm.processes() {
		c.links.add(p, place)
		c.replaceMember(gone.processes()[i], p)
		gone.processes()[i].endFault()
		gone.processes()[i].faultLock.Unlock()
	}
	c.vms[index] = vm
	c.links.apply()
	for _, p := range vm.processes() {
		p.writeSettingsAndStart(false)
	}
	c.startVM(vm)
	c.lost.returned(time.Now())
	if i := slices.Index(c.seeds, gone.control.index); i >= 0 {
		c.seeds[i] = at // the settings of its successor still name the lost one
	}
}

// exchangeSeeds lets the settings that are written from now on name other control processes.
func (c *dayCell) exchangeSeeds(r *rand.Rand) {
	for i, at := range r.Perm(len(c.vms))[:len(c.seeds)] {
		c.seeds[i] = c.vms[at].control.index
	}
}

// checkIncarnation checks that a control process, which must be down or idle, has the incarnation that it had before.
func (c *dayCell) checkIncarnation(p *soakProcess) {
	if !p.servesControl() {
		return
	}
	data, err := os.ReadFile(filepath.Join(p.dataDir, "identity"))
	if err != nil || len(data) < identityAt+8 {
		return // it was killed before it had one
	}
	now := binary.LittleEndian.Uint64(data[identityAt:])
	if before, known := c.incarnations[p.name]; known && before != now {
		c.checker.recordViolation("%s has another incarnation, %x after %x, and has not lost its disk", p.name, now, before)
	}
	c.incarnations[p.name] = now
}

// leaderVM returns the index of the VM whose control process has led last.
func (c *dayCell) leaderVM() int {
	last := c.watch.last()
	return max(0, slices.IndexFunc(c.vms, func(vm *coreVM) bool { return vm.control == last }))
}
