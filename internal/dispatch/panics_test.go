package dispatch

import (
	"testing"

	"github.com/matryer/is"
)

// A fault in the handling of one worker's calls ends neither the process nor the work on
// the other workers, and counts nothing on that worker as done or lost.
func TestPanicInOneWorkersCallsIsContained(t *testing.T) {
	is := is.New(t)
	broken, sound := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	c := newTestCluster(t, broken, sound)
	d, _ := c.startLeader()
	c.submit("job", stepOf(2, 1000))
	c.eventually("both workers have a run", func() bool { return len(broken.running()) == 1 && len(sound.running()) == 1 })
	broken.withLock(func() { broken.panics = true })
	sound.finishAll(done)
	c.submit("other", stepOf(1, 1000))
	c.eventually("the other worker goes on", func() bool { return len(sound.running()) == 1 })
	c.eventually("the panic is counted", func() bool { return d.counters.panics.Count() > 0 })
	is.True(d.Ready())
	broken.withLock(func() { broken.panics = false })
	sound.finishAll(done)
	c.eventually("the task runs on the sound worker or goes on", func() bool {
		broken.finishAll(done)
		sound.finishAll(done)
		return c.state("job").String() == "JOB_STATE_COMPLETED" && c.state("other").String() == "JOB_STATE_COMPLETED"
	})
}
