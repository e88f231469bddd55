package failure_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// limitDescriptors makes the kernel refuse the daemon more descriptors than its settings
// allow.
func (p *soakProcess) limitDescriptors(pid int) {
	limit := unix.Rlimit{Cur: uint64(p.descriptors), Max: uint64(p.descriptors)}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		p.t.Error(err)
	}
}

// flood opens connections to the address until ctx ends, without sending anything, and
// replaces those that are closed.
func flood(ctx context.Context, address string, connections int) {
	var group sync.WaitGroup
	for range connections {
		group.Go(func() {
			for ctx.Err() == nil {
				conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
				if err != nil {
					time.Sleep(soakRetryBackoff)
					continue
				}
				closed := make(chan struct{})
				go func() {
					defer close(closed)
					_, _ = conn.Read(make([]byte, 1))
				}()
				select {
				case <-ctx.Done():
				case <-closed:
					time.Sleep(soakRetryBackoff)
				}
				_ = conn.Close()
			}
		})
	}
	group.Wait()
}

// TestFloodsOfConnectionsLeaveTheOthersServed opens more connections to one listener after
// the other than a daemon may have descriptors, beside more workers than it may hold
// connections to. Meanwhile jobs that go through the other listeners are served.
func TestFloodsOfConnectionsLeaveTheOthersServed(t *testing.T) {
	const (
		descriptors   = 700
		workers       = 220
		floodLength   = 3 * time.Second
		jobsPerFlood  = 20
		tasksPerJob   = 4
		floodOfEach   = 800
		seed          = 187
		minJobsServed = jobsPerFlood
	)
	c := newLimitedSoakCell(t, seed, workers, descriptors)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { c.runOperator(ctx) })
	for _, w := range c.workers {
		group.Go(func() { w.sendHeartbeats(ctx) })
	}
	await(t, "the cell to form and to serve a configuration", c.serving)
	random := rand.New(rand.NewSource(seed))
	client := &http.Client{Timeout: soakCallTimeout}
	for _, target := range []struct {
		name      string
		processes []*soakProcess
		port      int
	}{
		{"reports and operators", c.control, 12},
		{"other daemons", c.control, 0},
		{"the leader's calls to entries", c.entries, 1},
	} {
		floodCtx, endFlood := context.WithTimeout(ctx, floodLength)
		var floods sync.WaitGroup
		for _, p := range target.processes {
			floods.Go(func() { flood(floodCtx, p.directAddress(target.port), floodOfEach) })
		}
		served := 0
		for range jobsPerFlood {
			id := fmt.Sprintf("%016x", random.Uint64())
			c.checker.jobSubmitted(id, tasksPerJob, false)
			if c.submit(client, random, id, soakJobBody(tasksPerJob, false)) {
				served++
			}
		}
		floods.Wait()
		endFlood()
		t.Logf("%s: %d of %d jobs accepted beside the flood", target.name, served, jobsPerFlood)
		if served < minJobsServed {
			t.Errorf("flood at %s: only %d of %d jobs were accepted", target.name, served, jobsPerFlood)
		}
	}
	c.awaitJobsFinished()
	cancel()
	group.Wait()
	for _, violation := range c.checker.recordedViolations() {
		t.Error(violation)
	}
	for _, p := range c.daemons() {
		log, err := os.ReadFile(p.logPath)
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Contains(log, []byte("too many open files")) {
			t.Errorf("%s ran out of descriptors", p.name)
		}
	}
}
