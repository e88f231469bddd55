package failure_test

import (
	"context"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pistachioport/pistachioport/internal/fake/relay"
)

// soakFault is one kind of fault, injected from outside the processes. inject returns
// when the fault has ended.
type soakFault struct {
	name   string
	inject func(*soakCell, *rand.Rand)
}

// Durations of faults and of the intervals between them.
const (
	soakMinFaultTime = 300 * time.Millisecond
	soakMaxFaultTime = 4 * time.Second
	// soakMeanFaultInterval and soakMeanWorkerFaultInterval are the average times between
	// the starts of two faults.
	soakMeanFaultInterval       = 700 * time.Millisecond
	soakMeanWorkerFaultInterval = time.Second
	// soakRebirthSeed makes the seed of soakRebirthFaults differ from those of the other faults.
	soakRebirthSeed = 1 << 40
)

var soakFaults = []soakFault{
	{"a process is killed", func(c *soakCell, r *rand.Rand) { c.kill(pickOne(r, c.daemons()), r, nil) }},
	{"a control process is killed in the middle of a write", func(c *soakCell, r *rand.Rand) {
		c.kill(pickOne(r, c.control), r, appendTornRecord)
	}},
	{"a control process loses its disk", func(c *soakCell, r *rand.Rand) {
		c.loseDisk(pickOne(r, c.control), r, removeDataDir)
	}},
	{"a control process's disk is damaged", func(c *soakCell, r *rand.Rand) {
		c.loseDisk(pickOne(r, c.control), r, flipByte)
	}},
	{"all control processes are killed at once", func(c *soakCell, r *rand.Rand) { c.killAll(r) }},
	{"a process is terminated and restarted", func(c *soakCell, r *rand.Rand) { c.restart(pickOne(r, c.daemons())) }},
	{"a process is paused", func(c *soakCell, r *rand.Rand) { c.pause(pickOne(r, c.daemons()), r) }},
	{"a process gets SIGHUP", func(c *soakCell, r *rand.Rand) {
		if p := pickOne(r, c.daemons()); p.faultLock.TryLock() {
			defer p.faultLock.Unlock()
			p.signal(syscall.SIGHUP)
		}
	}},
	{"the network of a process has a fault", func(c *soakCell, r *rand.Rand) { c.faultNetwork(pickOne(r, c.daemons()), r) }},
	{"connections are reset", func(c *soakCell, r *rand.Rand) { pickOne(r, c.daemons()).resetConnections() }},
	{"open connections are blackholed", func(c *soakCell, r *rand.Rand) { pickOne(r, c.daemons()).blackholeConnections() }},
	{"a worker's open connections are blackholed", func(c *soakCell, r *rand.Rand) { pickOne(r, c.workers).link.BlackholeOpen() }},
	{"a worker is partitioned", func(c *soakCell, r *rand.Rand) { c.partitionWorker(pickOne(r, c.workers), r) }},
	{"a worker crashes and begins a new incarnation", func(c *soakCell, r *rand.Rand) { pickOne(r, c.workers).crash(soakCrash{}) }},
	{"a worker drains and begins a new incarnation", func(c *soakCell, r *rand.Rand) { c.drainWorker(pickOne(r, c.workers)) }},
	{"a worker processes start requests late", func(c *soakCell, r *rand.Rand) {
		w := pickOne(r, c.workers)
		w.update(func() { w.lateStartRate = 0.3 })
		c.wait(soakMaxFaultTime)
		w.update(func() { w.lateStartRate = 0 })
	}},
	{"every run on a worker fails", func(c *soakCell, r *rand.Rand) {
		w := pickOne(r, c.workers)
		w.update(func() { w.failsAllRuns = true })
		c.wait(soakMaxFaultTime)
		w.update(func() { w.failsAllRuns = false })
	}},
}

// soakWorkerFaults are drawn beside soakFaults, which keep their order for the fixed seeds.
var soakWorkerFaults = []soakFault{
	{"a worker crashes and is back later", func(c *soakCell, r *rand.Rand) { pickOne(r, c.workers).crash(randomCrash(r)) }},
	{"a worker's capacity shrinks and grows again", func(c *soakCell, r *rand.Rand) { c.shrinkCapacity(pickOne(r, c.workers), r) }},
	{"a worker's heartbeats arrive late", func(c *soakCell, r *rand.Rand) { c.delayHeartbeats(pickOne(r, c.workers)) }},
	{"some jobs contain a deadly task", func(c *soakCell, r *rand.Rand) { c.submitDeadlyTasks(r) }},
}

func pickOne[T any](r *rand.Rand, all []T) T { return all[r.Intn(len(all))] }

func randomDuration(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.Int63n(int64(longest-shortest)))
}

// wait sleeps for the duration of a fault.
func (c *soakCell) wait(duration time.Duration) { time.Sleep(duration) }

// injectFaults starts random faults until ctx is done; they may overlap. It returns
// when all have ended.
func (c *soakCell) injectFaults(ctx context.Context, seed int64, log func(format string, args ...any)) {
	var group sync.WaitGroup
	group.Go(func() { c.injectFaultsOf(ctx, soakFaults, soakMeanFaultInterval, seed, log) })
	group.Go(func() { c.injectFaultsOf(ctx, soakWorkerFaults, soakMeanWorkerFaultInterval, ^seed, log) })
	group.Go(func() {
		c.injectFaultsOf(ctx, soakRebirthFaults, soakMeanRebirthFaultInterval, seed^soakRebirthSeed, log)
	})
	group.Wait()
}

// injectFaultsOf starts random faults of the given ones at the average interval.
func (c *soakCell) injectFaultsOf(
	ctx context.Context, kinds []soakFault, interval time.Duration, seed int64, log func(format string, args ...any),
) {
	random := rand.New(rand.NewSource(seed))
	var faults sync.WaitGroup
	for ctx.Err() == nil {
		fault := pickOne(random, kinds)
		faultRandom := rand.New(rand.NewSource(random.Int63()))
		log("%7.3f s  %s", time.Since(c.checker.began).Seconds(), fault.name)
		faults.Go(func() { fault.inject(c, faultRandom) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.Int63n(int64(2 * interval)))):
		}
	}
	faults.Wait()
}

// kill kills a process, applies damage, if any, to its disk and restarts it later. Like
// restart and pause it does nothing while another such fault holds the process's
// faultLock: a process can't be killed twice at a time.
func (c *soakCell) kill(p *soakProcess, r *rand.Rand, damage func(*soakProcess, *rand.Rand)) {
	if !p.faultLock.TryLock() {
		return
	}
	defer p.faultLock.Unlock()
	p.beginFault()
	p.killAndWait()
	if damage != nil {
		damage(p, r)
	}
	c.wait(randomDuration(r, 0, soakMaxFaultTime/2))
	p.writeSettingsAndStart(false)
	p.endFault()
}

// killAll kills all control processes before it restarts the first of them.
func (c *soakCell) killAll(r *rand.Rand) {
	for _, p := range c.control {
		p.faultLock.Lock()
		defer p.faultLock.Unlock()
	}
	for _, p := range c.control {
		p.beginFault()
		p.killAndWait()
	}
	c.wait(randomDuration(r, 0, soakMaxFaultTime/2))
	for _, p := range c.control {
		p.writeSettingsAndStart(false)
		p.endFault()
	}
}

// loseDisk kills a control process and damages its disk, provided that the others
// have caught up: the cell tolerates the loss of one at a time.
func (c *soakCell) loseDisk(p *soakProcess, r *rand.Rand, damage func(*soakProcess, *rand.Rand)) {
	c.diskFaultLock.Lock()
	for _, other := range c.control {
		if !other.caughtUp() {
			c.diskFaultLock.Unlock()
			return
		}
	}
	p.noteFault()
	c.diskFaultLock.Unlock()
	c.kill(p, r, damage)
}

func removeDataDir(p *soakProcess, _ *rand.Rand) {
	if err := os.RemoveAll(p.dataDir); err != nil {
		p.t.Error(err)
	}
}

// appendTornRecord appends a part of a record header, with random content, to the
// newest log file, as a write that a power failure interrupted would.
func appendTornRecord(p *soakProcess, r *rand.Rand) {
	path := newestLog(p)
	if path == "" {
		return
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Error(err)
		return
	}
	defer func() { _ = file.Close() }()
	const headerBytes = 13
	header := make([]byte, 1+r.Intn(headerBytes-1))
	_, _ = r.Read(header)
	if _, err := file.Write(header); err != nil {
		p.t.Error(err)
	}
}

// flipByte inverts a random byte of the newest log file.
func flipByte(p *soakProcess, r *rand.Rand) {
	path := newestLog(p)
	if path == "" {
		return
	}
	data, err := os.ReadFile(path)
	if err != nil || len(data) == 0 {
		return
	}
	data[r.Intn(len(data))] ^= 0xff
	if err := os.WriteFile(path, data, 0o600); err != nil {
		p.t.Error(err)
	}
}

// newestLog returns the path of the newest file of the process's write-ahead log; "" if
// there is none.
func newestLog(p *soakProcess) string {
	files, err := filepath.Glob(filepath.Join(p.dataDir, "*.log"))
	if err != nil || len(files) == 0 {
		return ""
	}
	return slices.Max(files)
}

// restart terminates a process gracefully and starts it again.
func (c *soakCell) restart(p *soakProcess) {
	if !p.faultLock.TryLock() {
		return
	}
	defer p.faultLock.Unlock()
	p.beginFault()
	p.terminate()
	p.writeSettingsAndStart(false)
	p.endFault()
}

// pause stops a process with SIGSTOP and continues it later.
func (c *soakCell) pause(p *soakProcess, r *rand.Rand) {
	if !p.faultLock.TryLock() {
		return
	}
	defer p.faultLock.Unlock()
	p.beginFault()
	p.signal(syscall.SIGSTOP)
	c.wait(randomDuration(r, soakMinFaultTime, soakMaxFaultTime))
	p.signal(syscall.SIGCONT)
	p.endFault()
}

// faultNetwork injects a random fault into the connections to a process, and closes
// them when it ends.
func (c *soakCell) faultNetwork(p *soakProcess, r *rand.Rand) {
	faults := []relay.Fault{
		{DropToTarget: true},
		{DropToClient: true},
		{DropToTarget: true, DropToClient: true},
		{RefuseNew: true},
		{Delay: 200 * time.Millisecond},
	}
	p.beginFault()
	p.link.SetFault(pickOne(r, faults))
	c.wait(randomDuration(r, soakMinFaultTime, soakMaxFaultTime))
	p.link.SetFault(relay.Fault{})
	p.link.CloseConnections()
	p.endFault()
}

// partitionWorker drops the data sent to a worker, and in half of the cases also its
// responses.
func (c *soakCell) partitionWorker(w *soakWorker, r *rand.Rand) {
	w.link.SetFault(relay.Fault{DropToTarget: true, DropToClient: r.Intn(2) == 0})
	c.wait(randomDuration(r, soakMinFaultTime, 2*soakMaxFaultTime))
	w.link.SetFault(relay.Fault{})
	w.link.CloseConnections()
}

// drainWorker lets a worker drain, and begins its next incarnation 1 s after
// soakDrainBound.
func (c *soakCell) drainWorker(w *soakWorker) {
	w.update(func() { w.drainRequested = true })
	c.wait(soakDrainBound + time.Second)
	w.leave()
}
