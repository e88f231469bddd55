package logging_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/logging"
)

func TestFormatsAndLevels(t *testing.T) {
	for _, format := range []string{"json", "text"} {
		t.Run(format, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			logger, err := logging.New(&out, format, "warn")
			is.NoErr(err)
			logger.Info("below the level")
			is.Equal(out.Len(), 0)
			logger.Warn("leader changed", "term", 7)
			is.True(strings.Contains(out.String(), "leader changed"))
			is.Equal(json.Valid(out.Bytes()), format == "json")
			is.Equal(strings.Count(out.String(), "\n"), 1)
		})
	}
}

func TestUnknownFormatAndLevel(t *testing.T) {
	is := is.New(t)
	_, err := logging.New(&bytes.Buffer{}, "xml", "info")
	is.True(err != nil)
	_, err = logging.New(&bytes.Buffer{}, "json", "loud")
	is.True(err != nil)
}

func TestSecretsAndBodiesAreNotWritten(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger, err := logging.New(&out, "json", "debug")
	is.NoErr(err)
	logger.Info("request refused",
		"body", "two tankers",
		"Set-Cookie", "two tankers",
		slog.Group("request", "Authorization", "two tankers", "set_cookie", []byte("two tankers")),
		"path", "/orders")
	is.True(!strings.Contains(out.String(), "tankers"))
	is.True(!strings.Contains(out.String(), "dHdvIHRhbmtlcnM")) // nor base64-encoded
	is.True(strings.Contains(out.String(), "/orders"))
}

func TestErrorsAreLoggedWithoutStackTraces(t *testing.T) {
	for _, format := range []string{"json", "text"} {
		t.Run(format, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			logger, err := logging.New(&out, format, "info")
			is.NoErr(err)
			logger.Error("stopped", "error", errors.Wrap(errors.New("disk full"), "control role"))
			is.True(strings.Contains(out.String(), "control role: disk full"))
			is.True(!strings.Contains(out.String(), "stack trace"))
			is.True(!strings.Contains(out.String(), "logger_test.go"))
		})
	}
}
