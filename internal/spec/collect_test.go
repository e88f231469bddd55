package spec_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/finding"
	"github.com/pistachioport/pistachioport/internal/spec"
	"github.com/pistachioport/pistachioport/internal/state"
)

var update = flag.Bool("update", false, "write the golden files from the current output")

// Each folder of invalid files gives exactly the findings of its golden file, with
// their files and lines.
func TestInvalidFilesGiveEveryFindingWithItsLine(t *testing.T) {
	folders, err := filepath.Glob("testdata/broken/*")
	if err != nil || len(folders) < 10 {
		t.Fatalf("found %d folders of broken files: %v", len(folders), err)
	}
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			is := is.New(t)
			_, err := spec.Collect(folder)
			var findings *finding.Error
			is.True(errors.As(err, &findings)) // the error carries findings
			golden := filepath.Join(folder, "findings.golden")
			if *update {
				is.NoErr(os.WriteFile(golden, []byte(err.Error()+"\n"), 0o600))
			}
			want, readErr := os.ReadFile(golden)
			is.NoErr(readErr)
			is.Equal(err.Error()+"\n", string(want))
		})
	}
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestFilesThatCannotBeRead(t *testing.T) {
	for name, c := range map[string]struct{ path, want string }{
		"absent":       {filepath.Join(t.TempDir(), "none.toml"), "no such file"},
		"empty folder": {t.TempDir(), "holds no .toml file"},
		"huge":         {write(t, "huge.toml", "# "+strings.Repeat("x", 2<<20)), "is larger than 1048576 bytes"},
		"binary":       {write(t, "binary.toml", "\x00\xff\xfe"), "is not TOML"},
		"deep":         {write(t, "deep.toml", "a = "+strings.Repeat("[", 100000)), "is not TOML"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := spec.Collect(c.path)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // names the problem
			is.True(strings.Contains(err.Error(), c.path)) // names the file
		})
	}
}

func TestExamplesAreWithoutFindings(t *testing.T) {
	for user, jobs := range map[string]int{"despacho": 6, "sagarmatha": 5} {
		t.Run(user, func(t *testing.T) {
			is := is.New(t)
			configuration, err := spec.Collect("../../examples/" + user + "/spec")
			is.NoErr(err)
			is.Equal(len(configuration.GetJobs()), jobs)
			is.NoErr(state.Validate(configuration))                             // the cell's own check accepts it
			is.True(proto.Equal(configuration, state.Canonical(configuration))) // the cell stores it unchanged
		})
	}
}

func TestJobIsReadCompletely(t *testing.T) {
	is := is.New(t)
	configuration, err := spec.Collect("../../examples/despacho/spec")
	is.NoErr(err)
	byName := map[string]*apiv1.Job{}
	for _, job := range configuration.GetJobs() {
		byName[job.GetName()] = job
	}

	draft := byName["weekly-plans-draft"]
	is.Equal(draft.GetResources().GetCpuMillis(), int64(500))
	is.Equal(draft.GetResources().GetMemoryBytes(), int64(1<<30))
	is.Equal(draft.GetReleaseUnixMs(), int64(1799010000000)) // 2027-01-03T21:00:00Z
	is.Equal(draft.GetDeadlineUnixMs()-draft.GetReleaseUnixMs(), int64(4*3600*1000))
	is.Equal(draft.GetClass(), apiv1.Class_CLASS_BULK)
	is.Equal(draft.GetGeneration(), "2027-W01")
	is.Equal(draft.GetSource(), "plans.toml") // the same wherever the files are checked out

	dispatch := byName["dispatch"]
	is.Equal(dispatch.GetSpread(), apiv1.Spread_SPREAD_FAILURE_DOMAIN)
	nonIdempotent, class := map[string]bool{}, map[string]apiv1.Class{}
	for _, route := range dispatch.GetRoutes() {
		nonIdempotent[route.GetPathPrefix()] = route.GetNonIdempotent()
		class[route.GetPathPrefix()] = route.GetClass()
	}
	is.Equal(nonIdempotent, map[string]bool{
		"/plans": false, "/rebalancing": false, "/confirmations": true, "/orders": true,
	})
	is.Equal(class["/plans"], apiv1.Class_CLASS_NORMAL)         // the route's own
	is.Equal(class["/confirmations"], apiv1.Class_CLASS_URGENT) // the job's, as a default
}

func TestCollectionDoesNotDependOnTheOrderOfFiles(t *testing.T) {
	is := is.New(t)
	one, err := spec.Collect("../../examples/despacho/spec/cell.toml", "../../examples/despacho/spec/plans.toml", "../../examples/despacho/spec/orders.toml")
	is.NoErr(err)
	other, err := spec.Collect("../../examples/despacho/spec/orders.toml", "../../examples/despacho/spec/plans.toml", "../../examples/despacho/spec/cell.toml", "../../examples/despacho/spec/./orders.toml")
	is.NoErr(err)
	is.True(proto.Equal(one, other))
}

func TestWholeConfigurationIsBounded(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	for i := range 25 {
		_, _ = fmt.Fprintf(&text, "[[job]]\nname = \"j%d\"\nteam = \"t\"\nkind = \"batch\"\nprocessors = 1\nmemory = \"1GiB\"\ncount = 10000\n", i)
	}
	_, err := spec.Collect(write(t, "many.toml", text.String()+"[[team]]\nname = \"t\"\nprocessors = 1\nmemory = \"1GiB\"\n"))
	is.True(err != nil)
	is.Equal(err.Error(), "all files: together they describe 250000 tasks; allowed: at most 200000")
}
