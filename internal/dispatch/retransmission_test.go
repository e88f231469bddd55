package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

func TestRetransmissionTimerFollowsResponseTimes(t *testing.T) {
	cases := []struct {
		name          string
		responseTimes []time.Duration
		atLeast       time.Duration
		atMost        time.Duration
	}{
		{"nothing observed", nil, maxAttemptTimeout, maxAttemptTimeout},
		{"fast and even", repeated(5*time.Millisecond, 40), minAttemptTimeout, minAttemptTimeout},
		{"slow and even", repeated(200*time.Millisecond, 40), 200 * time.Millisecond, 250 * time.Millisecond},
		{"slow and then fast", append(repeated(300*time.Millisecond, 10), repeated(5*time.Millisecond, 60)...), minAttemptTimeout, 150 * time.Millisecond},
		{"fast, then overloaded", append(repeated(5*time.Millisecond, 60), repeated(400*time.Millisecond, 8)...), 450 * time.Millisecond, maxAttemptTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			timer := retransmissionTimer{}
			for _, responseTime := range c.responseTimes {
				timer.observe(responseTime)
			}
			is.New(t).True(timer.timeout() >= c.atLeast && timer.timeout() <= c.atMost)
		})
	}
}

func repeated(d time.Duration, count int) []time.Duration {
	all := make([]time.Duration, count)
	for i := range all {
		all[i] = d
	}
	return all
}

// Load pattern: a worker executes some start requests late and does not answer them. The
// run starts with the next attempt, and the late request changes nothing.
func TestUnansweredStartIsSentAgainSoon(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 8000)
	c := newTestCluster(t, w1)
	c.startLeader()
	c.submit("first", stepOf(4, 1000))
	c.eventually("response times are known", func() bool { return len(w1.running()) == 4 })
	w1.withLock(func() { w1.startsToLose = 1 })
	begin := time.Now()
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return countRunsOf([]*fakeWorker{w1}, "job") == 1 })
	is.True(time.Since(begin) < maxAttemptTimeout)
	w1.deliverLostStarts()
	time.Sleep(50 * time.Millisecond)
	is.Equal(countRunsOf([]*fakeWorker{w1}, "job"), 1)
	is.Equal(w1.startCount(), 5)
}

// Load pattern: a worker leaves a long poll unanswered while its run ends. The end is
// learned soon after it was expected, not at the end of the longest poll.
func TestEndIsLearnedAfterAnUnansweredPoll(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w1)
	c.timing.MaxLease = 20 * time.Second
	c.startLeader()
	c.submit("first", stepOf(1, 1000))
	c.eventually("the run is active", func() bool { return len(w1.running()) == 1 })
	holds := w1.holdCount()
	w1.finishAll(done)
	c.eventually("the first job is completed", func() bool { return c.state("first") == apiv1.JobState_JOB_STATE_COMPLETED })
	c.submit("job", stepOf(1, 1000))
	c.eventually("a poll waits for the run", func() bool { return len(w1.running()) == 1 && w1.holdCount() > holds })
	w1.withLock(func() { w1.holdsToLose = 1 })
	begin := time.Now()
	w1.finishAll(done)
	c.eventually("the job is completed", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
	is.True(time.Since(begin) < maxHoldWait+maxHoldTimeoutMargin) // a poll that began before the run may be the longest
}
