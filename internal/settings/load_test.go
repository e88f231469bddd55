package settings_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/finding"
	"github.com/pistachioport/pistachioport/internal/settings"
)

var update = flag.Bool("update", false, "write the golden files from the current output")

// Each invalid file gives exactly the findings of its golden file, with their lines.
func TestInvalidFilesGiveEveryFindingWithItsLine(t *testing.T) {
	files, err := filepath.Glob("testdata/broken/*.toml")
	if err != nil || len(files) < 10 {
		t.Fatalf("found %d broken files: %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Load(file)
			var findings *finding.Error
			is.True(errors.As(err, &findings)) // the error carries findings
			golden := strings.TrimSuffix(file, ".toml") + ".golden"
			if *update {
				is.NoErr(os.WriteFile(golden, []byte(err.Error()+"\n"), 0o600))
			}
			want, readErr := os.ReadFile(golden)
			is.NoErr(readErr)
			is.Equal(err.Error()+"\n", string(want))
		})
	}
}

func TestFilesThatCannotBeRead(t *testing.T) {
	folder := t.TempDir()
	huge := filepath.Join(folder, "huge.toml")
	if err := os.WriteFile(huge, []byte("# "+strings.Repeat("x", 2<<20)), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ path, want string }{
		"absent": {filepath.Join(folder, "none.toml"), "no such file"},
		"folder": {folder, "is not a regular file"},
		"huge":   {huge, "is larger than 1048576 bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Load(c.path)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // names the problem
			is.True(strings.Contains(err.Error(), c.path)) // names the file
		})
	}
}

func TestDefaults(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "both.toml")
	is.NoErr(os.WriteFile(path, []byte(`
name = "vm-1"
region = "sur"
failure_domain = "sur-montevideo"
data = "/var/lib/pistachioport"
[control]
listen = "0.0.0.0:7400"
members = [{name = "vm-1", address = "192.0.2.11:7400", failure_domain = "sur-montevideo"}]
[entry]
listen = "192.0.2.11:8080"
announce_listen = "192.0.2.11:8081"
`), 0o600))
	loaded, err := settings.Load(path)
	is.NoErr(err)
	is.Equal(loaded.Control.Advertise, "192.0.2.11:7400")                // from the members
	is.Equal(loaded.Entry.ControlAddresses, []string{"192.0.2.11:7400"}) // from the members
	is.Equal(loaded.Entry.Advertise, "192.0.2.11:8080")                  // from listen
	is.Equal(loaded.Log, settings.Log{Format: "json", Level: "info"})
	is.Equal(loaded.Entry.DrainDelay, 10*time.Second)
	is.Equal(loaded.Entry.MaxBodyBytes, int64(8<<20))
}
