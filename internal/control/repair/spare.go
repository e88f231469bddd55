package repair

import (
	"cmp"
	"math"
	"slices"
)

// bestSpare returns the eligible process that spreads the voters best over the failure
// domains, so that the loss of any one domain leaves a majority where that is
// possible. Ties are broken by name.
func (s *analysis) bestSpare() (Peer, bool) {
	var spares []Peer
	for _, peer := range s.Peers {
		if s.isEligible(peer) && !s.isLiveVoterName(peer.Name) {
			spares = append(spares, peer)
		}
	}
	if len(spares) == 0 {
		return Peer{}, false
	}
	return slices.MinFunc(spares, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(s.lowestMaxVotersPerDomain(a.FailureDomain), s.lowestMaxVotersPerDomain(b.FailureDomain)),
			cmp.Compare(a.Name, b.Name),
		)
	}), true
}

// lowestMaxVotersPerDomain returns maxVotersPerDomain once a voter in the domain fills
// the vacancy, or replaces the dead voter for which the result is lowest.
func (s *analysis) lowestMaxVotersPerDomain(domain string) int {
	if s.hasVacancy() {
		return s.maxVotersPerDomain(Member{}, domain)
	}
	least := math.MaxInt
	for _, dead := range s.dead {
		least = min(least, s.maxVotersPerDomain(dead, domain))
	}
	return least
}

// maxVotersPerDomain returns the largest number of voters in one failure domain after
// the voter leaving is replaced by one in the given domain.
func (s *analysis) maxVotersPerDomain(leaving Member, domain string) int {
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

// isLiveVoterName reports whether there is a voter of that name that is not dead.
func (s *analysis) isLiveVoterName(name string) bool {
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
