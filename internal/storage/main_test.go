package storage

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that every run checks the same histories;
// -rapid.seed and -rapid.checks choose others.
func TestMain(m *testing.M) {
	presets := map[string]string{
		"rapid.seed":       "20261204",
		"rapid.checks":     "2000",
		"rapid.nofailfile": "true",
	}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(presets, f.Name) })
	for name, value := range presets {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
