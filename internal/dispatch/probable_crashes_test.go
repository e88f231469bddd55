package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Tasks crash workers faster than these come back, and the crashes are certain only then: each
// worker of the pool crashed before a queue was contained.
func TestProbableCrashesImplicateTheQueueOfTheYoungestRuns(t *testing.T) {
	short, long := []string{"short"}, []string{"long"}
	for _, test := range []struct {
		name    string
		crashes [][]string // queues, one crash each 100 ms
		want    []string
	}{
		{"each right after a start of one queue", [][]string{short, short, short, short}, short},
		{"a quarter for another cause", [][]string{short, long, short, short, short}, short},
		{"too few", [][]string{short, short, short}, nil},
		{"a cut: without regard to starts", [][]string{nil, short, nil, short, long, short, nil, short}, nil},
		{"two queues are started together", [][]string{{"short", "long"}, {"short", "long"}, {"short", "long"}, {"short", "long"}}, []string{"long", "short"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var crashes probableCrashes
			now := time.Now()
			for i, queues := range test.crashes {
				crashes.add(probableCrash{at: now.Add(time.Duration(i) * 100 * time.Millisecond), queues: queues})
			}
			is.Equal(crashes.implicated(), test.want)
			crashes.add(probableCrash{at: now.Add(2 * probableCrashWindow)})
			is.Equal(crashes.implicated(), nil)
		})
	}
}

// The queue of tasks that crash their workers is contained before the first worker is back.
func TestQueueIsContainedWhileCrashesAreOnlyProbable(t *testing.T) {
	is := is.New(t)
	var workers []*fakeWorker
	for _, id := range []string{"w1", "w2", "w3", "w4", "w5", "w6"} {
		w := newFakeWorker(id, 1000)
		w.deadly = "deadly"
		workers = append(workers, w)
	}
	c := newTestCluster(t, workers...)
	d, _ := c.startLeader()
	c.submit("deadly", stepOf(minProbableCrashes, 1000))
	p := d.pool(testService)
	c.eventually("the queue is contained", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.containments) == 1
	})
	is.Equal(d.counters.workersCrashed.Count(), int64(0))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, task := range p.jobs["deadly"].units[0].tasks {
		is.Equal(task.crashes.Count(), 0) // nothing is counted before it is certain
	}
}
