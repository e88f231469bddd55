package failure_test

import (
	"fmt"
	"sync"
	"time"
)

// soakGangTimeout bounds result long a member of a gang waits for the others to start.
const soakGangTimeout = 3 * time.Second

// soakGang is one run of a gang. Its members start to work when all have joined and
// finish together.
type soakGang struct {
	size int

	mu         sync.Mutex
	joined     int
	ends       time.Time // zero: not all have joined yet
	memberLost bool      // a member ended with another result than "done"
}

// soakGangs holds the runs of gangs.
type soakGangs struct {
	mu    sync.Mutex
	byRun map[string]*soakGang // by job and run
}

// join adds a task to its gang's run. The last of size members sets the end of the
// run, after the given duration.
func (g *soakGangs) join(task string, run int64, size int, duration time.Duration) *soakGang {
	key := fmt.Sprintf("%s/%d", jobOf(task), run)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byRun == nil {
		g.byRun = make(map[string]*soakGang)
	}
	one := g.byRun[key]
	if one == nil {
		one = &soakGang{size: size}
		g.byRun[key] = one
	}
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.joined++; one.joined == size {
		one.ends = time.Now().Add(duration)
	}
	return one
}

// outcome returns the result of a member that began at the given time; "" if it is
// still running.
func (g *soakGang) outcome(now, began time.Time) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.memberLost:
		return "broken"
	case !g.ends.IsZero() && now.After(g.ends):
		return "done"
	case g.ends.IsZero() && now.Sub(began) > soakGangTimeout:
		return "alone"
	}
	return ""
}

// memberEnded records the result of a member. Any result but "done" ends the other
// members too.
func (g *soakGang) memberEnded(result string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memberLost = g.memberLost || result != "done"
}
