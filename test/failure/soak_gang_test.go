package failure_test

import (
	"fmt"
	"sync"
	"time"
)

// soakGangTimeout is how long a gang's member waits for the others.
const soakGangTimeout = 3 * time.Second

// soakGang is one run of a gang. Its members work from the time when all are
// present and end together.
type soakGang struct {
	size int

	mu         sync.Mutex
	joined     int
	ends       time.Time // zero: not all are present yet
	memberLost bool      // a member ended otherwise
}

// gangs holds the gang runs by job and run.
type soakGangs struct {
	mu    sync.Mutex
	byRun map[string]*soakGang
}

func (g *soakGangs) join(task string, run int64, need int, length time.Duration) *soakGang {
	key := fmt.Sprintf("%s/%d", jobOf(task), run)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byRun == nil {
		g.byRun = make(map[string]*soakGang)
	}
	one := g.byRun[key]
	if one == nil {
		one = &soakGang{size: need}
		g.byRun[key] = one
	}
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.joined++; one.joined == need {
		one.ends = time.Now().Add(length)
	}
	return one
}

// outcome returns how a member that began at a time ends by now; "": it goes on.
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

// memberEnded notes how a member ended. Any end but as done breaks the others' work.
func (g *soakGang) memberEnded(how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memberLost = g.memberLost || how != "done"
}
