package failure_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"testing"
	"time"
)

var (
	soakSeed      = flag.Int64("soak.seed", 0, "first seed to run; 0: run the fixed seeds of the test")
	soakSeedCount = flag.Int("soak.count", 1, "number of consecutive seeds to run, from soak.seed on")
	soakKeepDir   = flag.String("soak.keep", "", "directory in which the logs and data of the processes are kept")
	soakFaultTime = flag.Duration("soak.length", 10*time.Second, "time during which faults are injected, for each seed")
)

// soakSeeds are the seeds that run in CI: one for the daily run, and each seed that
// ever failed, with the cause of its failure.
var soakSeeds = []struct {
	seed  int64
	cause string
}{
	{1, "the daily run"},
	// A process with a damaged log never rejoined, so that the cell had no quorum
	// after the next failure.
	{2, "a damaged log and a lost disk"},
	{3, "a damaged log while all control processes are killed"},
	{5, "a damaged log while processes are paused"},
	// Starts that the next incarnation executed were given up with the former one.
	{1002, "workers crash in series with requests in flight"},
}

// TestSoak runs a cell of real processes under random faults and checks what callerCtx,
// workers and operators observe meanwhile.
func TestSoak(t *testing.T) {
	if *soakSeed != 0 {
		for i := range int64(*soakSeedCount) {
			t.Run(fmt.Sprint(*soakSeed+i), func(t *testing.T) { soak(t, *soakSeed+i) })
		}
		return
	}
	for _, fixed := range soakSeeds {
		t.Run(fmt.Sprintf("%d: %s", fixed.seed, fixed.cause), func(t *testing.T) { soak(t, fixed.seed) })
	}
}

// soak runs one cell with the faults of one seed and reports all violations.
func soak(t *testing.T, seed int64) {
	c := newSoakCell(t, seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { c.runOperator(ctx) })
	for _, w := range c.workers {
		group.Go(func() { w.sendHeartbeats(ctx) })
	}
	await(t, "the cell to form and to serve a configuration", c.serving)
	callerCtx, stopCallers := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range int64(4) {
		callers.Go(func() { c.runCaller(callerCtx, seed*1000+i) })
	}
	faultCtx, endFaults := context.WithTimeout(ctx, *soakFaultTime)
	defer endFaults()
	c.injectFaults(faultCtx, seed, t.Logf)
	stopCallers()
	callers.Wait()
	c.awaitJobsFinished()
	cancel()
	group.Wait()
	t.Log(c.checker.summary())
	t.Log(c.checker.cancelSummary())
	t.Log(c.checker.deadlySummary())
	t.Log(c.rebirthCounts.summary())
	t.Logf("%d starts beyond a capacity that had shrunk by leaders not in touch", c.excusedOverruns.Load())
	for _, violation := range c.checker.recordedViolations() {
		t.Error(violation)
	}
}

// awaitJobsFinished waits until every accepted job is reported as finished, and
// records a violation for each that isn't within soakRecoveryBound. Jobs that may be given
// up are waited for as well, but aren't missed.
func (c *soakCell) awaitJobsFinished() {
	client := &http.Client{Timeout: soakCallTimeout}
	random := rand.New(rand.NewSource(1))
	holdsWithin(soakRecoveryBound, func() bool {
		for _, id := range c.checker.unfinishedJobs(true) {
			c.readState(client, random, id)
		}
		c.readPending(client, random)
		return len(c.checker.unfinishedJobs(false)) == 0 && c.checker.deadlyJobsResolved()
	})
	c.checkNonePending(client)
	for _, id := range c.checker.unfinishedJobs(false) {
		c.checker.recordViolation("%s was accepted and is not finished %v after the last fault", id, soakRecoveryBound)
	}
}
