package settings

import "fmt"

// memberKey returns the key of one element of the members' list.
func memberKey(i int) string {
	return fmt.Sprintf("members[%d]", i)
}

func spreadAllowed(minority int) string {
	return fmt.Sprintf("at most %d of the voters in one failure domain", minority)
}
