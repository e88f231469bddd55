package spec_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pistachioport/pistachioport/internal/spec"
	"github.com/pistachioport/pistachioport/internal/state"
)

// FuzzCollect checks that Collect returns, for any text, either findings or a
// configuration that the cell's own check accepts too.
func FuzzCollect(f *testing.F) {
	for _, pattern := range []string{"../../examples/*/spec/*.toml", "testdata/broken/*/*.toml"} {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			f.Fatalf("no seeds at %s: %v", pattern, err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(text)
		}
	}
	folder := f.TempDir()
	cell, err := os.ReadFile("../../examples/despacho/spec/cell.toml")
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := os.CreateTemp(folder, "*.toml")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.Remove(file.Name()) }()
		if _, err := file.Write(append(append([]byte{}, cell...), text...)); err != nil {
			t.Fatal(err)
		}
		if err := file.Close(); err != nil {
			t.Fatal(err)
		}
		configuration, err := spec.Collect(file.Name())
		if err != nil {
			return
		}
		if err := state.Validate(configuration); err != nil {
			t.Fatalf("Collect accepted a configuration that the cell rejects: %v", err)
		}
	})
}
