package control

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// candidateExpiry is how long a control process that offered itself counts as
// there without a word from it.
const candidateExpiry = 10 * time.Second

// candidates are control processes that offered themselves to the leader. They
// can replace a lost voter.
type candidates struct {
	mu     sync.Mutex
	byName map[string]candidate
}

type candidate struct {
	Peer
	seen time.Time
}

func (c *candidates) offer(peer Peer, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byName == nil {
		c.byName = make(map[string]candidate)
	}
	c.byName[peer.Name] = candidate{peer, now}
}

// all returns those heard of lately, by name.
func (c *candidates) all() []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []Peer
	for name, one := range c.byName {
		if time.Since(one.seen) > candidateExpiry {
			delete(c.byName, name)
			continue
		}
		found = append(found, one.Peer)
	}
	slices.SortFunc(found, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return found
}
