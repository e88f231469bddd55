package failure_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"testing"
	"time"

	"github.com/pistachioport/pistachioport/internal/fake/relay"
)

// TestCancellationWhoseAnswerIsLost cancels jobs on connections whose answers are lost. The cancellations are carried out,
// as the callers can't know.
func TestCancellationWhoseAnswerIsLost(t *testing.T) {
	const (
		seed       = 294
		jobs       = 5
		cancelWait = 500 * time.Millisecond // of a caller for the lost answer
	)
	c, stop := newCalmSoakCell(t, seed)
	answersLost, err := relay.Start(context.Background(), c.entries[0].directAddress(soakCallerPort))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(answersLost.Close)
	answersLost.SetFault(relay.Fault{DropToClient: true})
	random := rand.New(rand.NewSource(seed))
	client := &http.Client{Timeout: soakCallTimeout}
	impatient := &http.Client{Timeout: cancelWait}
	for range jobs {
		var id string
		await(t, "a job to be accepted", func() bool {
			id = fmt.Sprintf("%016x", random.Uint64())
			c.checker.jobSubmitted(id, 1, false)
			return c.submit(client, random, id, soakJobBody(1, false))
		})
		c.checker.cancelSent(id)
		status := c.callAddress(impatient, answersLost.Address(), http.MethodDelete, id, nil).status
		c.checker.cancelAnswered(id, status)
		if status != 0 {
			t.Errorf("the cancellation of %s was answered with %d", id, status)
		}
		c.readState(client, random, id)
	}
	c.awaitJobsFinished()
	if c.checker.countInState("cancelled") == 0 {
		t.Error("no job was cancelled")
	}
	stop()
}
