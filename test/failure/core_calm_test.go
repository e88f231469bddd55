package failure_test

import (
	"context"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

const (
	coreCallersBackFor = 5 * time.Second // time for which callers that come back together after a fault go on
	coreReaders        = 16              // callers that read the states of all jobs at the end
)

// callersComeBack lets many callers begin to call at the same time, and go on for coreCallersBackFor, as they do when what they
// called is there again. The returned function waits for their ends.
func (c *soakCell) callersComeBack(random *rand.Rand, callers int) (wait func()) {
	ctx, cancel := context.WithTimeout(context.Background(), coreCallersBackFor)
	var group sync.WaitGroup
	for range callers {
		seed := random.Int63()
		group.Go(func() { c.runCaller(ctx, seed) })
	}
	return func() {
		group.Wait()
		cancel()
	}
}

// keepPublishing publishes at the operator's interval for the duration. Each publication must go through within
// coreRecoveryBound.
func (c *soakCell) keepPublishing(publishes func() bool, duration time.Duration) {
	longest, published := time.Duration(0), 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(soakPublishInterval) {
		began := time.Now()
		if !holdsWithin(coreRecoveryBound, publishes) {
			c.checker.recordViolation("no publication goes through for %v while nothing is impaired", coreRecoveryBound)
			return
		}
		longest = max(longest, time.Since(began))
		published++
	}
	if duration > 0 {
		c.t.Logf("%7.3f s  calm: %d publications, the slowest took %v", time.Since(c.checker.began).Seconds(), published, longest.Round(time.Millisecond))
	}
}

// readUnfinishedJobs reads the state of each job that was accepted and isn't known to be finished once, several at a time:
// after a run with many callers there are thousands.
func (c *soakCell) readUnfinishedJobs() {
	ids := make(chan string)
	var group sync.WaitGroup
	for i := range int64(coreReaders) {
		group.Go(func() {
			client, random := &http.Client{Timeout: soakCallTimeout}, rand.New(rand.NewSource(i))
			for id := range ids {
				c.readState(client, random, id)
			}
		})
	}
	for _, id := range c.checker.unfinishedJobs(true) {
		ids <- id
	}
	close(ids)
	group.Wait()
}
