package settings_test

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/settings"
)

func TestCommentedExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/settings/*.toml")
	if err != nil || len(files) != 3 {
		t.Fatalf("found %d commented files: %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Load(file)
			is.NoErr(err)
		})
	}
}

// TestExampleDeploymentsAreConsistent checks that the files of each example deployment are valid and
// consistent with each other: unique names and addresses, and one list of members.
func TestExampleDeploymentsAreConsistent(t *testing.T) {
	for user, want := range map[string]struct{ vms, voters, spares int }{
		"despacho":   {12, 5, 2},
		"sagarmatha": {9, 5, 2},
	} {
		t.Run(user, func(t *testing.T) {
			is := is.New(t)
			files, err := filepath.Glob("../../examples/" + user + "/settings/*.toml")
			is.NoErr(err)
			is.Equal(len(files), want.vms)
			names, addresses := map[string]bool{}, map[string]bool{}
			var members []settings.Member
			controls := 0
			for _, file := range files {
				loaded, err := settings.Load(file)
				is.NoErr(err)
				is.True(loaded.Entry != nil) // every VM is an entry
				names[loaded.Name] = true
				addresses[loaded.Entry.Listen] = true
				addresses[loaded.Entry.AnnounceListen] = true
				is.Equal(len(loaded.Entry.ControlAddresses), want.voters+want.spares)
				if loaded.Control == nil {
					continue
				}
				controls++
				addresses[loaded.Control.Listen] = true
				if members == nil {
					members = loaded.Control.Members
				}
				is.Equal(loaded.Control.Members, members) // the same list everywhere
				is.Equal(len(loaded.Control.Voters()), want.voters)
			}
			is.Equal(len(names), want.vms)                               // no name twice
			is.Equal(len(addresses), 2*want.vms+want.voters+want.spares) // no address twice
			is.Equal(controls, want.voters+want.spares)
		})
	}
}
