package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pistachioport/pistachioport/internal/settings"
)

// FuzzLoad checks that Load returns, for any text, either findings or settings with
// which a daemon can start.
func FuzzLoad(f *testing.F) {
	for _, pattern := range []string{"../../examples/settings/*.toml", "testdata/broken/*.toml"} {
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
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := os.CreateTemp(folder, "*.toml")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.Remove(file.Name()) }()
		if _, err := file.Write(text); err != nil {
			t.Fatal(err)
		}
		if err := file.Close(); err != nil {
			t.Fatal(err)
		}
		loaded, err := settings.Load(file.Name())
		if err != nil {
			return
		}
		checkUsable(t, loaded)
	})
}

// checkUsable fails the test if the settings lack what the daemon needs to start.
func checkUsable(t *testing.T, s *settings.Settings) {
	t.Helper()
	if s.Name == "" || s.Region == "" || s.FailureDomain == "" || s.Control == nil && s.Entry == nil {
		t.Fatalf("accepted without a name, a location or a role: %+v", s)
	}
	if c := s.Control; c != nil {
		if s.DataDir == "" || c.Listen == "" || c.Advertise == "" || len(c.Voters())%2 == 0 {
			t.Fatalf("accepted a control role that can't start: %+v", c)
		}
	}
	if e := s.Entry; e != nil {
		if e.Listen == "" || e.AnnounceListen == "" || e.Advertise == "" || len(e.ControlAddresses) == 0 || e.MaxBodyBytes < 1 {
			t.Fatalf("accepted an entry role that can't start: %+v", e)
		}
	}
}
