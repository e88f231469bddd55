// Command standin2 has the stand-ins of the second review: minions, consumers and an operator that speak the
// published protocol, and the scripts of the cases. It uses the standard library only.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin2 minion FLAGS | standin2 CASE FOLDER")
		os.Exit(2)
	}
	if os.Args[1] == "minion" {
		runMinion(os.Args[2:])
		return
	}
	run, ok := cases[os.Args[1]]
	if !ok || len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "unknown case, or no folder")
		os.Exit(2)
	}
	os.Exit(runCase(run, os.Args[2]))
}

// cases holds the scripts by name.
var cases = map[string]func(*cell) error{
	"lasting-failing": lastingFailing,
	"other-writer":    otherWriter,
	"late-withdrawal": lateWithdrawal,
	"large-state":     largeState,
	"stale-leader":    staleLeader,
}
