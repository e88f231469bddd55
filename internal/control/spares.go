package control

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// spareExpiry is how long a spare stays listed after its last registration.
const spareExpiry = 10 * time.Second

// spares holds the control processes outside the membership that registered with
// the leader. They can replace a lost voter. It is safe for concurrent use.
type spares struct {
	mu     sync.Mutex
	byName map[string]spare
}

type spare struct {
	Peer
	lastSeen time.Time
}

func (s *spares) register(peer Peer, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil {
		s.byName = make(map[string]spare)
	}
	s.byName[peer.Name] = spare{peer, now}
}

// list returns the spares that have not expired, sorted by name, and drops the
// expired ones.
func (s *spares) list() []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []Peer
	for name, registered := range s.byName {
		if time.Since(registered.lastSeen) > spareExpiry {
			delete(s.byName, name)
			continue
		}
		live = append(live, registered.Peer)
	}
	slices.SortFunc(live, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return live
}
