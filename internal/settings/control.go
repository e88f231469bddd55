package settings

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

// allowedVoterCounts describes the voter counts that a cluster may have.
const allowedVoterCounts = "1, 3, 5 or 7 members that are no spares"

const maxVoters = 7

// readControl reads the table [control]; it returns nil if there is none.
func readControl(table *tomlfile.Table) *Control {
	if table == nil {
		return nil
	}
	control := &Control{
		Listen:          readListenAddress(table, "listen"),
		Advertise:       readReachableAddress(table, "advertise"),
		SnapshotEntries: int(table.Int("snapshot_entries", defaultSnapshotEntries, minSnapshotEntries, maxSnapshotEntries)),
		ReplaceAfter:    table.Duration("replace_after", defaultReplaceAfter, minReplaceAfter, maxReplaceAfter),
	}
	control.SpareAfter = table.Duration("spare_after",
		max(defaultSpareAfter, control.ReplaceAfter), minReplaceAfter, maxReplaceAfter)
	for _, member := range table.Tables("members") {
		control.Members = append(control.Members, readMember(member))
	}
	checkMembers(table, control)
	if control.SpareAfter < control.ReplaceAfter {
		table.Report("spare_after", fmt.Sprintf("at least replace_after, %v", control.ReplaceAfter),
			"control.spare_after = %v is below replace_after, so a spare would replace a voter before its own VM could", control.SpareAfter)
	}
	table.ReportUnknownKeys()
	return control
}

func readMember(table *tomlfile.Table) Member {
	table.Require("address", "an IP address with a port")
	member := Member{
		Name:          readName(table, "name"),
		Address:       readReachableAddress(table, "address"),
		FailureDomain: readName(table, "failure_domain"),
		DialAddress:   readReachableAddress(table, "dial"),
		Spare:         table.Bool("spare", false),
	}
	table.ReportUnknownKeys()
	return member
}

// readListenAddress reads a required address to listen at.
func readListenAddress(table *tomlfile.Table, key string) string {
	table.Require(key, "an IP address with a port")
	return table.Address(key)
}

// readReachableAddress reads an address that processes dial, which can't be an
// unspecified address such as 0.0.0.0.
func readReachableAddress(table *tomlfile.Table, key string) string {
	address := table.Address(key)
	if isUnspecified(address) {
		table.Report(key, "an IP address that other processes can reach", "%s = %q can't be dialled", table.KeyPath(key), address)
	}
	return address
}

// isUnspecified reports whether the address is 0.0.0.0 or :: with a port, which
// means all addresses of a VM.
func isUnspecified(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsUnspecified()
}

// checkMembers reports an empty list of members, an invalid set of voters, and names
// and addresses that occur twice.
func checkMembers(table *tomlfile.Table, control *Control) {
	if len(control.Members) == 0 {
		table.Report("members", "every control process as {name, address, failure_domain}", "control.members is empty")
		return
	}
	checkVoterCount(table, control)
	checkVoterPlacement(table, control)
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, member := range control.Members {
		key := memberKey(i)
		if member.Name != "" && names[member.Name] {
			table.Report(key, "each name once", "control.members names %q twice", member.Name)
		}
		if member.Address != "" && addresses[member.Address] {
			table.Report(key, "each address once", "control.members has the address %q twice", member.Address)
		}
		names[member.Name] = true
		addresses[member.Address] = true
	}
}

// checkVoterCount reports a number of voters that is even or above maxVoters.
func checkVoterCount(table *tomlfile.Table, control *Control) {
	voters := len(control.Voters())
	if voters%2 == 0 || voters > maxVoters {
		table.Report("members", allowedVoterCounts, "control.members has %d voters", voters)
	}
}

// checkVoterPlacement reports a failure domain that holds a majority of the voters,
// so that the cluster loses its quorum with it. Clusters of fewer than 3 voters are
// not checked.
func checkVoterPlacement(table *tomlfile.Table, control *Control) {
	voters := control.Voters()
	if len(voters) < 3 {
		return
	}
	minority := (len(voters) - 1) / 2
	counts := map[string]int{}
	for _, voter := range voters {
		counts[voter.FailureDomain]++
		if voter.FailureDomain != "" && counts[voter.FailureDomain] == minority+1 {
			table.Report("members", allowedPlacement(minority),
				"the loss of failure domain %q leaves no majority of the %d voters", voter.FailureDomain, len(voters))
		}
	}
}

// checkOwnMembership checks this process's settings against its entry in the list of
// members, and reports a process that has none.
func checkOwnMembership(table *tomlfile.Table, settings *Settings) {
	control := settings.Control
	var otherNames []string
	for _, member := range control.Members {
		if member.Name != settings.Name {
			otherNames = append(otherNames, member.Name)
			continue
		}
		resolveOwnMember(table, settings, member)
		return
	}
	if settings.Name != "" && len(control.Members) > 0 {
		table.Report("name", strings.Join(otherNames, ", "), "name = %q is not among control.members", settings.Name)
	}
}

// resolveOwnMember takes the advertised address from the process's own member, if it
// is not set. It reports an address or failure domain that differs from the member's.
func resolveOwnMember(table *tomlfile.Table, settings *Settings, member Member) {
	control := settings.Control
	if control.Advertise == "" {
		control.Advertise = member.Address
	}
	if member.Address != "" && control.Advertise != member.Address {
		table.Report("control.advertise", member.Address,
			"control.advertise = %q differs from the address of member %q", control.Advertise, member.Name)
	}
	if settings.FailureDomain != "" && member.FailureDomain != "" && settings.FailureDomain != member.FailureDomain {
		table.Report("failure_domain", member.FailureDomain,
			"failure_domain = %q differs from that of member %q", settings.FailureDomain, member.Name)
	}
}
