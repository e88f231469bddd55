package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// logOfTwoProcesses has lines in the wrong order, a line with text before the JSON, a
// line about another job, and a truncated line.
const logOfTwoProcesses = `  1.20 vm-1/control {"time":"2026-12-04T10:00:02Z","level":"INFO","msg":"run stopped","name":"vm-1","run":{"task":"00ff.0.0.0","number":5}}
{"time":"2026-12-04T10:00:01Z","level":"INFO","msg":"job accepted","name":"vm-1","job":"00ff"}
{"time":"2026-12-04T10:00:03Z","level":"INFO","msg":"job accepted","name":"vm-1","job":"other"}
{"time":"2026-12-04T10:00:04Z","level":"INFO","msg":"took over","name":"vm-2","term":3}
{"time":"2026-12-04T10:00:05Z","level":"INFO","msg":"runs ended","name":"vm-1","runs":["aaaa.0.0.0 number=7 worker=i-1","00ff.0.0.0 number=5 worker=i-2"]}
{"time":"2026-12-04T10:00:06Z","level":"INFO","msg":"run en
`

func TestExplain(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "all.log")
	is.NoErr(os.WriteFile(path, []byte(logOfTwoProcesses), 0o600))
	var out, errs bytes.Buffer
	environment := Environment{Out: &out, Err: &errs, LookupEnv: func(string) (string, bool) { return "", false }}
	is.Equal(Execute(context.Background(), environment, []string{"explain", "00ff", path}), ExitOK)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 4)
	is.True(strings.Contains(lines[0], "job accepted"))
	is.True(strings.HasPrefix(lines[1], "+1.000s") && strings.Contains(lines[1], "run.task=00ff.0.0.0"))
	is.True(strings.Contains(lines[2], "took over"))
	is.True(strings.Contains(lines[3], "00ff.0.0.0 number=5 worker=i-2") && !strings.Contains(lines[3], "aaaa"))
	is.Equal(Execute(context.Background(), environment, []string{"explain", "beef", path}), ExitError)
}
