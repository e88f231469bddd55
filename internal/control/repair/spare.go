package repair

import (
	"cmp"
	"math"
	"slices"
)

// bestSpare returns the process outside the membership with which the fewest
// voters share a failure domain, so that the loss of any one domain leaves a
// majority where that is possible.
func (s *situation) bestSpare() (Peer, bool) {
	var spares []Peer
	for _, peer := range s.Peers {
		if s.usable(peer) && !s.namesLiveVoter(peer.Name) {
			spares = append(spares, peer)
		}
	}
	if len(spares) == 0 {
		return Peer{}, false
	}
	return slices.MinFunc(spares, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(s.leastCrowding(a.FailureDomain), s.leastCrowding(b.FailureDomain)),
			cmp.Compare(a.Name, b.Name),
		)
	}), true
}

// leastCrowding returns the crowding once a voter in the domain takes the free
// place, or that of whichever dead voter is best.
func (s *situation) leastCrowding(domain string) int {
	if s.placeFree() {
		return s.crowding(Member{}, domain)
	}
	least := math.MaxInt
	for _, dead := range s.dead {
		least = min(least, s.crowding(dead, domain))
	}
	return least
}

// crowding returns the most voters that share a failure domain once one voter
// leaves and another in the given domain joins.
func (s *situation) crowding(leaving Member, domain string) int {
	counts := map[string]int{domain: 1}
	most := 1
	for _, voter := range s.Voters {
		if voter.Info.GetIncarnation() == leaving.Info.GetIncarnation() {
			continue
		}
		at := voter.Info.GetFailureDomain()
		counts[at]++
		most = max(most, counts[at])
	}
	return most
}

// namesLiveVoter reports whether a voter of that name is not dead.
func (s *situation) namesLiveVoter(name string) bool {
	return slices.ContainsFunc(s.Voters, func(m Member) bool {
		return m.Info.GetName() == name && !s.isDead(m)
	})
}

func byNameAndIncarnation(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.Info.GetName(), b.Info.GetName()),
		cmp.Compare(a.Info.GetIncarnation(), b.Info.GetIncarnation()),
	)
}
