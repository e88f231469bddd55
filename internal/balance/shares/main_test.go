package shares_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run gives the
// same verdict. A -rapid.seed on the command line comes later and wins.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed":       "20261204",
		"rapid.checks":     "1000",
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
