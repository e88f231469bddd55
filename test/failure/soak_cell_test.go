package failure_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pistachioport/pistachioport/internal/fake/relay"
)

// Bounds that the soak's cell must keep.
const (
	soakDrainBound    = 2500 * time.Millisecond // from an acknowledged drain until no run starts on the worker
	soakCancelBound   = 3 * time.Second         // from an acknowledged cancellation until no task of the job starts
	soakVisibleBound  = 3 * time.Second         // from an accepted submission until readers find the job
	soakCatchUpBound  = 4 * time.Second         // for a lost member to catch up
	soakShutdownGrace = 6 * time.Second         // from SIGTERM to SIGKILL
	// soakRecoveryBound is the time from the end of all faults within which the
	// cell must finish every accepted job.
	soakRecoveryBound = 60 * time.Second
)

// soakSize is the number of processes of a cell.
type soakSize struct {
	controls, entries, workers int
	tolerated                  int           // control processes that may be lost at a time
	linkDelay                  time.Duration // of the links between daemons, in each direction
	controlShare, entryShare   float64       // of a core that each process may use; 0: any
	recordsDisks               bool          // the data folders are on recordedDisks
}

const soakControlCount = 3 // of the usual cell

// usualSoakSize is the size of a cell with the number of workers.
func usualSoakSize(workers int) soakSize {
	return soakSize{controls: soakControlCount, entries: 2, workers: workers, tolerated: 1}
}

// soakWorkerCount is the number of workers of the usual cell.
const soakWorkerCount = 8

// maxSoakSeeds is the number of control processes that settings name as seeds.
const maxSoakSeeds = 3

// soakCell is a cell as it runs on the users' platform: real daemons in separate
// processes, fake workers, and relays in front of the internal ports of the control
// processes and of the entries.
type soakCell struct {
	t              testing.TB
	checker        *soakChecker
	gangs          soakGangs
	dir            string
	tolerated      int // control processes that may be lost at a time
	descriptors    int // limit of each daemon, as the platform states it; 0: none
	size           soakSize
	addressOctet   int          // second octet of the cell's loopback addresses, which depends on the seed
	diskFaultLock  sync.Mutex   // serializes the choice of a control process whose disk is damaged
	deadlyShare    atomic.Int64 // of the submitted jobs, in thousandths, that contain a deadly task
	crashedUnder   sync.Map     // tasks under which a worker has crashed
	rebirthCounts  soakRebirthCounts
	crashedOnStart sync.Map // tasks a start of which has crashed a worker before it was executed
	// excusedOverruns counts starts beyond a capacity that has shrunk, by a leader that was
	// not in touch.
	excusedOverruns atomic.Int64
	publishNext     func() bool // publishes the next version, and reports whether it was acknowledged; nil: nothing publishes

	seeds   []int // indexes of the control processes that new settings files name
	control []*soakProcess
	lostVMs []*soakProcess // processes on VMs that were removed permanently
	entries []*soakProcess
	workers []*soakWorker

	membersLock sync.RWMutex // guards the elements of control and entries
}

const soakFirstPort = 21_700 // the same on all addresses

// newSoakCell starts the daemons and the workers of a cell; the control processes
// bootstrap it.
func newSoakCell(t testing.TB, seed int64) *soakCell {
	t.Helper()
	return newSizedSoakCell(t, seed, usualSoakSize(soakWorkerCount), 0)
}

// newLimitedSoakCell starts a cell with the number of workers. The daemons may have as
// many descriptors open as given; 0: no limit.
func newLimitedSoakCell(t testing.TB, seed int64, workerCount, descriptors int) *soakCell {
	t.Helper()
	return newSizedSoakCell(t, seed, usualSoakSize(workerCount), descriptors)
}

// newSizedSoakCell is newLimitedSoakCell for a cell of any size.
func newSizedSoakCell(t testing.TB, seed int64, size soakSize, descriptors int) *soakCell {
	t.Helper()
	c := newUnstartedSoakCell(t, seed, size, descriptors)
	c.startDaemons()
	return c
}

// newUnstartedSoakCell returns a cell whose workers run, and whose daemons aren't started yet.
func newUnstartedSoakCell(t testing.TB, seed int64, size soakSize, descriptors int) *soakCell {
	t.Helper()
	c := &soakCell{
		t: t, checker: newSoakChecker(), dir: soakDir(t, seed), tolerated: size.tolerated, descriptors: descriptors,
		size:         size,
		addressOctet: 1 + int(uint64(seed)%200),
	}
	for i := range size.controls {
		if i < maxSoakSeeds {
			c.seeds = append(c.seeds, i)
		}
		c.control = append(c.control, c.newProcess("control", i))
	}
	for i := range size.entries {
		c.entries = append(c.entries, c.newProcess("entry", i))
	}
	t.Cleanup(c.stop)
	for i := range size.workers {
		c.workers = append(c.workers, startSoakWorker(c, fmt.Sprintf("i-%d", i), seed+int64(i)))
	}
	return c
}

// startDaemons starts all daemons for the first time.
func (c *soakCell) startDaemons() {
	for _, p := range c.daemons() {
		p.writeSettingsAndStart(true)
	}
}

// soakDir returns the directory for the settings, logs and data of the processes. A kept
// one must be new: the cell would find the jobs of an earlier run.
func soakDir(t testing.TB, seed int64) string {
	if *soakKeepDir == "" {
		return t.TempDir()
	}
	dir := filepath.Join(*soakKeepDir, fmt.Sprint(seed))
	if err := os.MkdirAll(*soakKeepDir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	return dir
}

// daemons returns the control processes and the entries.
func (c *soakCell) daemons() []*soakProcess {
	c.membersLock.RLock()
	defer c.membersLock.RUnlock()
	return slices.Concat(c.control, c.entries)
}

// currentControl returns the control processes.
func (c *soakCell) currentControl() []*soakProcess {
	c.membersLock.RLock()
	defer c.membersLock.RUnlock()
	return slices.Clone(c.control)
}

// currentEntries returns the entries.
func (c *soakCell) currentEntries() []*soakProcess {
	c.membersLock.RLock()
	defer c.membersLock.RUnlock()
	return slices.Clone(c.entries)
}

// replaceMember puts a process in the place of another one.
func (c *soakCell) replaceMember(gone, successor *soakProcess) {
	c.membersLock.Lock()
	defer c.membersLock.Unlock()
	for _, members := range [][]*soakProcess{c.control, c.entries} {
		if i := slices.Index(members, gone); i >= 0 {
			members[i] = successor
		}
	}
	c.lostVMs = append(c.lostVMs, gone)
}

// stop kills the daemons, closes their relays and, if the test failed, shows their
// logs.
func (c *soakCell) stop() {
	for _, p := range slices.Concat(c.lostVMs, c.daemons()) {
		p.killAndWait()
		p.link.Close()
		if c.t.Failed() {
			showLog(c.t, p.name, p.logPath)
		}
	}
}

// newProcess returns a process that isn't started yet, with its relay. The relay
// listens on the advertised address, the process itself on another one.
func (c *soakCell) newProcess(role string, index int) *soakProcess {
	c.t.Helper()
	kind := map[string]int{"control": 1, "entry": 2}[role]
	name := fmt.Sprintf("%s-%d", role, index)
	p := &soakProcess{
		t: c.t, checker: c.checker, name: name, index: index, config: filepath.Join(c.dir, name+".toml"),
		logPath: filepath.Join(c.dir, name+".log"), descriptors: c.descriptors,
		advertisedIP: fmt.Sprintf("127.%d.%d.%d", c.addressOctet, kind, index+1),
		listenIP:     fmt.Sprintf("127.%d.%d.%d", c.addressOctet, 10+kind, index+1),
	}
	p.region = "r"
	p.share = map[string]float64{"control": c.size.controlShare, "entry": c.size.entryShare}[role]
	port := soakFirstPort // of the internal service; an entry's is the second one
	if role == "control" {
		p.dataDir = filepath.Join(c.dir, name+"-data")
		p.recordsDisk = c.size.recordsDisks
	} else {
		port++
	}
	var err error
	if p.link, err = relay.StartAt(context.Background(), fmt.Sprintf("%s:%d", p.advertisedIP, port), fmt.Sprintf("%s:%d", p.listenIP, port)); err != nil {
		c.t.Fatal(err)
	}
	p.link.SetFault(relay.Fault{Delay: c.size.linkDelay})
	p.settings = func(bootstrap bool) string { return c.settings(p, role, bootstrap) }
	return p
}

// settings returns a process's settings file as the platform writes it.
func (c *soakCell) settings(p *soakProcess, role string, bootstrap bool) string {
	var seeds []string
	for _, i := range c.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("127.%d.1.%d:%d", c.addressOctet, i+1, soakFirstPort+12)))
	}
	serves, dataDir := `"edge"`, ""
	if role == "control" {
		serves, dataDir = `"control"`, fmt.Sprintf("data_dir = %q", p.dataDir)
	}
	return fmt.Sprintf(`node_name = %q
role = %q
serves = [%s]
ip = %q
zone = "z1"
region = %q
internal_port_range = [%d, %d]
seeds = [%s]
bootstrap = %v
%s
heartbeat_ms = %d
control_mode = "invocation"
[listen_addrs]
frontend = "%s:%d"
ready = "%s:%d"
control_plane = "%s:%d"
internal = %q
[limits]
memory_mb = 284
max_fds = %d
[fault_tolerance]
machines = %d
[bounds]
catch_up_s = %v
grace_s = %v
max_hold_ms = %d
contact_ms = %d
stop_timeout_ms = %d
early_ms = 250
status_s = 600
`, p.name, role, serves, p.advertisedIP, p.region, soakFirstPort, soakFirstPort+9, strings.Join(seeds, ","), bootstrap, dataDir,
		soakHeartbeatSetting.Milliseconds(),
		p.listenIP, soakFirstPort+10, p.listenIP, soakFirstPort+11, p.listenIP, soakFirstPort+12, p.listenIP, c.descriptors, c.tolerated,
		soakCatchUpBound.Seconds(), soakShutdownGrace.Seconds(), soakMaxHold.Milliseconds(), soakContactBound.Milliseconds(), soakStopTimeout.Milliseconds())
}

// controlAddresses returns the addresses of the control processes in random order.
func (c *soakCell) controlAddresses() []string {
	var found []string
	control := c.currentControl()
	for _, i := range rand.Perm(len(control)) {
		found = append(found, control[i].directAddress(12))
	}
	return found
}

// serving reports whether some control process serves reads of the configuration.
func (c *soakCell) serving() bool {
	client := &http.Client{Timeout: time.Second}
	for _, address := range c.controlAddresses() {
		response, err := client.Get("http://" + address + "/api/config")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
