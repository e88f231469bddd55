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
	soakSeed      = flag.Int64("soak.seed", 0, "seed of a soak of its own; 0: the seeds of the test")
	soakSeedCount = flag.Int("soak.count", 1, "how many seeds, from soak.seed on")
	soakKeepDir   = flag.String("soak.keep", "", "folder for the processes' logs and data, which stay there")
	soakFaultTime = flag.Duration("soak.length", 10*time.Second, "time with troubles for each seed")
)

// soakSeeds are played in CI: one for the run of every day, and those that ever
// failed, with what their failure was.
var soakSeeds = []struct {
	seed int64
	why  string
}{
	{1, "the short run"},
	// A damaged log kept its process from ever coming back, so that the cell stayed
	// without a majority after the next loss.
	{2, "a damaged log beside a lost disk"},
	{3, "a damaged log beside kills of all"},
	{5, "a damaged log beside pauses"},
}

// TestSoak runs a cell of real processes under troubles drawn by lot, and checks
// what callers, workers and operators see while it runs.
func TestSoak(t *testing.T) {
	if *soakSeed != 0 {
		for i := range int64(*soakSeedCount) {
			t.Run(fmt.Sprint(*soakSeed+i), func(t *testing.T) { soak(t, *soakSeed+i) })
		}
		return
	}
	for _, one := range soakSeeds {
		t.Run(fmt.Sprintf("%d: %s", one.seed, one.why), func(t *testing.T) { soak(t, one.seed) })
	}
}

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
	callers, hangUp := context.WithCancel(ctx)
	var calling sync.WaitGroup
	for i := range int64(4) {
		calling.Go(func() { c.runCaller(callers, seed*1000+i) })
	}
	troubled, end := context.WithTimeout(ctx, *soakFaultTime)
	defer end()
	c.injectFaults(troubled, seed, t.Logf)
	hangUp()
	calling.Wait()
	c.awaitJobsFinished()
	cancel()
	group.Wait()
	t.Log(c.checker.summary())
	for _, one := range c.checker.recordedViolations() {
		t.Error(one)
	}
}

// awaitJobsFinished waits until every accepted job is shown as finished.
func (c *soakCell) awaitJobsFinished() {
	client := &http.Client{Timeout: soakCallTimeout}
	random := rand.New(rand.NewSource(1))
	open := c.checker.unfinishedJobs()
	for end := time.Now().Add(soakRecoveryBound); len(open) > 0 && time.Now().Before(end); open = c.checker.unfinishedJobs() {
		for _, id := range open {
			c.readState(client, random, id)
		}
		time.Sleep(pollInterval)
	}
	for _, id := range open {
		c.checker.recordViolation("%s was accepted and is not finished %v after the last trouble", id, soakRecoveryBound)
	}
}
