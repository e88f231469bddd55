package daemon_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/command/daemon"
	"github.com/pistachioport/pistachioport/internal/settings"
)

const (
	good   = "../../../examples/settings/entry.toml"
	broken = "../../settings/testdata/broken/02-wrong-units.toml"
)

func TestCommandLine(t *testing.T) {
	for name, c := range map[string]struct {
		arguments string
		failure   error // returned by the RunFunc
		code      int
		ran       bool   // whether the RunFunc is called
		want      string // a text in the output or error stream
	}{
		"run":             {"run " + good, nil, daemon.ExitOK, true, ""},
		"run fails":       {"run " + good, errors.New("port taken"), daemon.ExitError, true, "port taken"},
		"run broken":      {"run " + broken, nil, daemon.ExitFindings, false, "entry.max_body"},
		"check":           {"check " + good, nil, daemon.ExitOK, false, "no findings"},
		"check broken":    {"check " + broken, nil, daemon.ExitFindings, false, "entry.drain_delay"},
		"version":         {"version", nil, daemon.ExitOK, false, "pistachiod"},
		"help":            {"", nil, daemon.ExitOK, false, "Exit codes"},
		"unknown command": {"serve", nil, daemon.ExitUsage, false, "serve"},
		"unknown flag":    {"run --fast", nil, daemon.ExitUsage, false, "fast"},
		"no file":         {"check", nil, daemon.ExitUsage, false, "arg"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ran := false
			run := func(_ context.Context, loaded *settings.Settings) error {
				ran = true
				is.True(loaded.Entry != nil)
				return c.failure
			}
			var out, errs bytes.Buffer
			code := daemon.Execute(context.Background(), &out, &errs, strings.Fields(c.arguments), run, nil)
			is.Equal(code, c.code)
			is.Equal(ran, c.ran)
			is.True(strings.Contains(out.String()+errs.String(), c.want))
			is.Equal(errs.Len() > 0, c.code != daemon.ExitOK)
		})
	}
}
