package repair

import (
	"cmp"
	"slices"
)

// bestSpare returns the eligible process that spreads the voters best over the failure
// domains, so that the loss of any one domain leaves a majority where that is
// possible, given the learners that are to be added as well. Ties are broken by name.
func (s *analysis) bestSpare(added []Action) (Peer, bool) {
	var spares []Peer
	for _, peer := range s.Peers {
		isAdded := func(a Action) bool { return a.Member.GetIncarnation() == peer.Identity.GetIncarnation() }
		if s.isEligible(peer) && !s.isLiveVoterName(peer.Name) && !slices.ContainsFunc(added, isAdded) {
			spares = append(spares, peer)
		}
	}
	if len(spares) == 0 {
		return Peer{}, false
	}
	domains := s.domainsAfterRepair(added)
	votersIn := func(peer Peer) int { return maxPerDomain(append(slices.Clone(domains), peer.FailureDomain)) }
	return slices.MinFunc(spares, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(votersIn(a), votersIn(b)), cmp.Compare(a.Name, b.Name))
	}), true
}

// domainsAfterRepair returns the failure domains of the voters that are not dead, of the learners and of those to be added.
func (s *analysis) domainsAfterRepair(added []Action) []string {
	var domains []string
	for _, member := range slices.Concat(s.Voters, s.Learners) {
		if !s.isDead(member) {
			domains = append(domains, member.Info.GetFailureDomain())
		}
	}
	for _, action := range added {
		domains = append(domains, action.Member.GetFailureDomain())
	}
	return domains
}

// maxVotersPerDomain returns the largest number of voters in one failure domain after
// the voter leaving is replaced by one in the given domain.
func (s *analysis) maxVotersPerDomain(leaving Member, domain string) int {
	domains := []string{domain}
	for _, voter := range s.Voters {
		if voter.Info.GetIncarnation() != leaving.Info.GetIncarnation() {
			domains = append(domains, voter.Info.GetFailureDomain())
		}
	}
	return maxPerDomain(domains)
}

// maxPerDomain returns how often the most frequent of the domains occurs.
func maxPerDomain(domains []string) int {
	counts := make(map[string]int)
	most := 0
	for _, domain := range domains {
		counts[domain]++
		most = max(most, counts[domain])
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
