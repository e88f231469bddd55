package settings

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

// voterCountsAllowed names the sizes of cluster that can be formed.
const voterCountsAllowed = "1, 3, 5 or 7 members that are no spares"

const maxVoters = 7

func readControl(table *tomlfile.Table) *Control {
	if table == nil {
		return nil
	}
	control := &Control{
		Listen:          readListen(table, "listen"),
		Advertise:       readAdvertise(table, "advertise"),
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
			"control.spare_after = %v is below replace_after, so a spare would go before the VM's own return", control.SpareAfter)
	}
	table.ReportUnknownKeys()
	return control
}

func readMember(table *tomlfile.Table) Member {
	table.Require("address", "an IP address with a port")
	member := Member{
		Name:          readName(table, "name"),
		Address:       readAdvertise(table, "address"),
		FailureDomain: readName(table, "failure_domain"),
		DialAddress:   readAdvertise(table, "dial"),
		Spare:         table.Bool("spare", false),
	}
	table.ReportUnknownKeys()
	return member
}

// readListen reads an address to listen at.
func readListen(table *tomlfile.Table, key string) string {
	table.Require(key, "an IP address with a port")
	return table.Address(key)
}

// readAdvertise reads an address that others dial.
func readAdvertise(table *tomlfile.Table, key string) string {
	address := table.Address(key)
	if isUnspecified(address) {
		table.Report(key, "an IP address that other processes can reach", "%s = %q can't be dialled", table.KeyPath(key), address)
	}
	return address
}

// isUnspecified reports an address that stands for all of a machine's own.
func isUnspecified(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsUnspecified()
}

func checkMembers(table *tomlfile.Table, control *Control) {
	if len(control.Members) == 0 {
		table.Report("members", "every control process as {name, address, failure_domain}", "control.members is empty")
		return
	}
	checkVoterCount(table, control)
	checkVoterSpread(table, control)
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

func checkVoterCount(table *tomlfile.Table, control *Control) {
	voters := len(control.Voters())
	if voters%2 == 0 || voters > maxVoters {
		table.Report("members", voterCountsAllowed, "control.members has %d voters", voters)
	}
}

// checkVoterSpread finds a failure domain whose loss takes the majority along.
func checkVoterSpread(table *tomlfile.Table, control *Control) {
	voters := control.Voters()
	if len(voters) < 3 {
		return
	}
	minority := (len(voters) - 1) / 2
	counts := map[string]int{}
	for _, voter := range voters {
		counts[voter.FailureDomain]++
		if voter.FailureDomain != "" && counts[voter.FailureDomain] == minority+1 {
			table.Report("members", spreadAllowed(minority),
				"the loss of failure domain %q leaves no majority of the %d voters", voter.FailureDomain, len(voters))
		}
	}
}

// checkSelf compares the process's own name and address with the members.
func checkSelf(table *tomlfile.Table, settings *Settings) {
	control := settings.Control
	var names []string
	for _, member := range control.Members {
		if member.Name != settings.Name {
			names = append(names, member.Name)
			continue
		}
		checkOwnMember(table, settings, member)
		return
	}
	if settings.Name != "" && len(control.Members) > 0 {
		table.Report("name", strings.Join(names, ", "), "name = %q is not among control.members", settings.Name)
	}
}

// checkOwnMember fills in or checks what the members' list says of this process.
func checkOwnMember(table *tomlfile.Table, settings *Settings, member Member) {
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
