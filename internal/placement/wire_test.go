package placement_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/worker"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// overHTTP makes a worker call the leaders at the given addresses over HTTP.
func overHTTP(t *testing.T, addresses ...string) func(*worker.Options) {
	client := rpc.NewClient(rpc.Options{Addresses: addresses})
	t.Cleanup(client.Close)
	return func(o *worker.Options) { o.Platform = client.Platform() }
}

func (c *testLeader) serve() string {
	server := httptest.NewServer(apiv1.NewPlatformServer(c.controller))
	c.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestWorkersFindTheLeaderOverHTTP(t *testing.T) {
	is := is.New(t)
	follower := newTestLeader(t) // doesn't lead
	c := newTestLeader(t)
	c.lead()
	runner := newTaskRunner()
	use := overHTTP(t, follower.serve(), c.serve())
	w := c.worker("w1", func(o *worker.Options) {
		use(o)
		o.Run = runner.run
	})
	c.start(w.Run)
	c.publish(
		nonIdempotent(job("refit", apiv1.JobKind_JOB_KIND_BATCH, 4, "refit")),
		job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 1, "serve"),
	)
	c.waitForState("dispatch", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	for index := range 4 {
		c.waitForState("refit", index, apiv1.TaskState_TASK_STATE_RUNNING)
	}
	c.advance(3 * time.Second) // renewals continue
	is.Equal(len(w.Running()), 5)
	c.publish()
	c.waitFor("stop of all tasks", func() bool { return len(w.Running()) == 0 })
}
