package settings

import "fmt"

// memberKey returns the key of member i within the table [control].
func memberKey(i int) string {
	return fmt.Sprintf("members[%d]", i)
}

// allowedPlacement describes the valid placements of voters, for a finding.
func allowedPlacement(minority int) string {
	return fmt.Sprintf("at most %d of the voters in one failure domain", minority)
}
