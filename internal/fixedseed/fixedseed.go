// Package fixedseed runs a package's property tests with a fixed seed, so that
// each run draws the same cases and has the same result. It is for tests only.
package fixedseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Default is the seed of tests that don't need a particular one.
const Default = 20261204

// Main runs the tests with the given seed and number of checks, and exits the
// process with their exit code. 0 checks means rapid's default. Flags on the
// command line override both.
func Main(m *testing.M, seed uint64, checks int) {
	Set(seed, checks)
	os.Exit(m.Run())
}

// Set parses the command line and sets the seed and the number of checks as Main does,
// for a TestMain that does more.
func Set(seed uint64, checks int) {
	defaults := map[string]string{
		"rapid.seed":       strconv.FormatUint(seed, 10),
		"rapid.nofailfile": "true",
	}
	if checks > 0 {
		defaults["rapid.checks"] = strconv.Itoa(checks)
	}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
