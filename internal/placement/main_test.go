package placement_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that each run gives the same verdict. A seed
// given on the command line goes first.
func TestMain(m *testing.M) {
	seed := "1"
	flag.Parse()
	if given := flag.Lookup("rapid.seed"); given.Value.String() == given.DefValue {
		if err := flag.Set("rapid.seed", seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
