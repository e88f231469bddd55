package command_test

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/command"
)

const examples = "../../examples/despacho/spec"

func TestReadCommands(t *testing.T) {
	_, address := startCell(t)
	for name, c := range map[string]struct {
		arguments string
		want      []string
	}{
		"cluster status":  {"cluster status", []string{"c-1", "vm-1", "192.0.2.11:7400", "00000000000000ff"}},
		"cluster members": {"cluster members", []string{"vm-2", "voter"}},
		"overview":        {"status", []string{"members reachable", "disk losses tolerated", "voter missing", "vm-2: does not answer", "workers quarantined"}},
		"jobs":            {"status jobs", []string{"plans", "batch", "larger than any worker"}},
		"tasks":           {"status tasks", []string{"plans", "wide", "waiting"}},
		"tasks of a job":  {"status tasks --job plans", []string{"plans", "waiting"}},
		"workers":         {"status workers", []string{"w-1", "sur/sur-montevideo/r-1", "16 cpu, 64GiB", "9 of 10 tasks failed"}},
		"workspaces":      {"status workspaces", []string{"kaje80", "12.5 cpu, 3 MB", "100 cpu", "12.5 %", "40.0 %", "67"}},
		"entries":         {"status entries", []string{"vm-7", "3000"}},
		"endpoints":       {"status endpoints", []string{"e-1", "e-2"}},
		"one service":     {"status endpoints --service dispatch", []string{"e-1"}},
		"job":             {"status job plans", []string{"capacity", "12", "memory"}},
		"request":         {"request order-7", []string{"done", "201"}},
		"audit":           {"audit --since 24h --job plans", []string{"2027-01-03T21:00:00Z", "ana", "conflict"}},
		"config":          {"config show", []string{"REVISION"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			arguments := append(strings.Fields(c.arguments), "--control", address)
			table := runTool(nil, arguments...)
			is.Equal(table.err, "")
			is.Equal(table.code, command.ExitOK)
			for _, want := range c.want {
				is.True(strings.Contains(table.out, want)) // the table contains the text
			}
			asJSON := runTool(nil, append(arguments, "-o", "json")...)
			is.Equal(asJSON.code, command.ExitOK)
			is.True(json.Valid([]byte(asJSON.out)))
		})
	}
}

func TestRequestNeverShowsBodyOrHeader(t *testing.T) {
	is := is.New(t)
	_, address := startCell(t)
	for _, format := range []string{"table", "json"} {
		got := runTool(nil, "request", "order-7", "--control", address, "-o", format)
		is.Equal(got.code, command.ExitOK)
		is.True(!strings.Contains(got.out, "secret"))
		is.True(!strings.Contains(got.out, "c2VjcmV0")) // "secret" in base64
	}
}

func TestPublish(t *testing.T) {
	is := is.New(t)
	c, address := startCell(t)
	env := map[string]string{"PISTACHIO_CONTROL": address, "USER": "ana"}

	first := runTool(env, "publish", examples, "--wait")
	is.Equal(first.err, "")
	is.Equal(first.code, command.ExitOK)
	is.True(strings.Contains(first.out, "applied"))
	is.True(strings.Contains(first.out, "IN FORCE EVERYWHERE"))
	is.Equal(c.operator, "ana")

	again := runTool(env, "publish", examples, "--base", "0", "-o", "json")
	is.Equal(again.code, command.ExitOK)
	is.True(strings.Contains(again.out, "STATUS_ALREADY_APPLIED"))
	is.Equal(c.published, 1)

	stale := runTool(env, "publish", examples+"/cell.toml", "--base", "0", "--operator", "bruno")
	is.Equal(stale.code, command.ExitConflict)
	is.True(strings.Contains(stale.err, `base revision 0 was taken by revision 1 of "ana"; revision 1 is in force`))

	next := runTool(env, "publish", examples+"/cell.toml", "--operator", "bruno")
	is.Equal(next.code, command.ExitOK) // the current revision is the default base
	is.Equal(c.operator, "bruno")
	is.Equal(c.revision, uint64(2))
}

func TestPublishNamesEntriesNotInForce(t *testing.T) {
	is := is.New(t)
	c, address := startCell(t)
	c.inForce = false
	got := runTool(map[string]string{"USER": "ana"}, "publish", examples, "--control", address, "--wait", "--wait-timeout", "100ms")
	is.Equal(got.code, command.ExitNotInForce)
	is.True(strings.Contains(got.err, "waiting for: vm-7"))
}

func TestClusterInit(t *testing.T) {
	is := is.New(t)
	c, address := startCell(t)
	env := map[string]string{"USER": "ana", "PISTACHIO_CONTROL": address}
	voters := []string{"cluster", "init", "--member", "vm-1=192.0.2.11:7400=a", "--member", "vm-2=192.0.2.12:7400=b", "--member", "vm-3=192.0.2.13:7400=c"}

	is.Equal(runTool(env, voters[:6]...).code, command.ExitUsage) // two voters
	first := runTool(env, voters...)
	is.Equal(first.err, "")
	is.Equal(first.code, command.ExitOK)
	is.Equal(len(c.formed), 3)
	is.Equal(c.formed[2].GetFailureDomain(), "c")
	is.Equal(runTool(env, voters...).code, command.ExitRefused)
}

func TestExitCodes(t *testing.T) {
	_, address := startCell(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections, but nothing responds
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	broken := filepath.Join(t.TempDir(), "broken.toml")
	if err := os.WriteFile(broken, []byte("[[job]]\nname = 3"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		arguments []string
		want      int
	}{
		"version":         {[]string{"version"}, command.ExitOK},
		"help":            {[]string{}, command.ExitOK},
		"completion":      {[]string{"completion", "bash"}, command.ExitOK},
		"unknown command": {[]string{"place"}, command.ExitUsage},
		"unknown flag":    {[]string{"status", "--all"}, command.ExitUsage},
		"too few":         {[]string{"status", "job"}, command.ExitUsage},
		"bad format":      {[]string{"status", "-o", "xml"}, command.ExitUsage},
		"bad time":        {[]string{"audit", "--since", "yesterday", "--control", address}, command.ExitUsage},
		"no address":      {[]string{"status"}, command.ExitUsage},
		"no operator":     {[]string{"publish", examples, "--control", address}, command.ExitUsage},
		"findings":        {[]string{"spec", "check", broken}, command.ExitFindings},
		"bad config file": {[]string{"status", "--config", broken}, command.ExitFindings},
		"unknown job":     {[]string{"status", "job", "none", "--control", address}, command.ExitRefused},
		"unknown key":     {[]string{"request", "none", "--control", address}, command.ExitRefused},
		"silent":          {[]string{"status", "--control", silent.Addr().String(), "--timeout", "200ms"}, command.ExitUnreachable},
		"nothing listens": {[]string{"status", "--control", "127.0.0.1:1", "--timeout", "200ms"}, command.ExitUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := runTool(nil, c.arguments...)
			is.Equal(got.code, c.want)
			is.Equal(got.err != "", c.want != command.ExitOK) // the error stream has text exactly if the tool fails
		})
	}
}

func TestAddressesComeFromFlagThenEnvironmentThenFile(t *testing.T) {
	is := is.New(t)
	_, address := startCell(t)
	file := filepath.Join(t.TempDir(), "ctl.toml")
	is.NoErr(os.WriteFile(file, []byte(`control = ["`+address+`"]`), 0o600))

	is.Equal(runTool(nil, "status", "--config", file).code, command.ExitOK)
	unreachable := map[string]string{"PISTACHIO_CONFIG": file, "PISTACHIO_CONTROL": "127.0.0.1:1"}
	is.Equal(runTool(unreachable, "status", "--timeout", "200ms").code, command.ExitUnreachable) // the environment precedes the file
	is.Equal(runTool(unreachable, "status", "--control", address).code, command.ExitOK)          // the flag precedes the environment
}

func TestEveryCallHasADeadline(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	ended := make(chan runResult, 1)
	go func() { ended <- runTool(nil, "status", "--control", silent.Addr().String(), "--timeout", "0s") }()
	select {
	case got := <-ended:
		is.Equal(got.code, command.ExitUnreachable)
	case <-time.After(30 * time.Second):
		t.Fatal("status did not end")
	}
}

func TestErrorsOmitTransportDetails(t *testing.T) {
	_, address := startCell(t)
	for name, c := range map[string]struct {
		arguments []string
		want      string
	}{
		"refusal":     {[]string{"status", "job", "none", "--control", address}, "pistachioctl: job none does not exist\n"},
		"unreachable": {[]string{"publish", examples, "--operator", "ana", "--control", "127.0.0.1:1", "--timeout", "100ms"}, "pistachioctl: read the revision in force: no leading control process answered in time: "},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := runTool(nil, c.arguments...)
			is.True(strings.HasPrefix(got.err, c.want))
			is.True(!strings.Contains(got.err, "twirp"))
		})
	}
}

func TestDryRunShowsWhatWouldChange(t *testing.T) {
	is := is.New(t)
	c, address := startCell(t)
	env := map[string]string{"PISTACHIO_CONTROL": address, "USER": "ana"}
	is.Equal(runTool(env, "publish", examples).code, command.ExitOK)

	same := runTool(env, "publish", examples, "--dry-run")
	is.Equal(same.code, command.ExitOK)
	is.True(strings.Contains(same.out, "none"))

	folder := t.TempDir()
	for _, name := range []string{"cell.toml", "plans.toml", "orders.toml"} {
		text, err := os.ReadFile(filepath.Join(examples, name))
		is.NoErr(err)
		changed := strings.Replace(string(text), `name = "port-orders"`, `name = "sea-orders"`, 1)
		changed = strings.Replace(changed, `expected_run = "50m"`, `expected_run = "55m"`, 1)
		is.NoErr(os.WriteFile(filepath.Join(folder, name), []byte(changed), 0o600))
	}
	dryRun := runTool(env, "publish", folder, "--dry-run", "-o", "json")
	is.Equal(dryRun.err, "")
	var preview struct {
		BaseRevision uint64 `json:"base_revision"`
		Changes      []struct{ Change, What, Name string }
	}
	is.NoErr(json.Unmarshal([]byte(dryRun.out), &preview))
	is.Equal(preview.BaseRevision, uint64(1))
	var got []string
	for _, change := range preview.Changes {
		got = append(got, change.Change+" "+change.What+" "+change.Name)
	}
	is.Equal(got, []string{
		"removed job delivery-confirmations", "removed job depot-rebalancing", "removed job dispatch",
		"removed job port-orders", "added job sea-orders", "changed job weekly-plans",
	})
	is.Equal(c.published, 1) // nothing was published
}

func TestShellCompletesJobs(t *testing.T) {
	is := is.New(t)
	_, address := startCell(t)
	for _, arguments := range [][]string{
		{"__complete", "--control", address, "status", "job", "pl"},
		{"__complete", "--control", address, "audit", "--job", "pl"},
	} {
		got := runTool(nil, arguments...)
		is.Equal(got.code, command.ExitOK)
		is.True(strings.HasPrefix(got.out, "plans\n"))
	}
}
