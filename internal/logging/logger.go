package logging

import (
	"io"
	"log/slog"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// New returns a logger that writes one line for each record at or above the
// level. Formats: "json", "text". Levels: "debug", "info", "warn", "error".
func New(out io.Writer, format, level string) (*slog.Logger, error) {
	var threshold slog.Level
	if err := threshold.UnmarshalText([]byte(level)); err != nil {
		return nil, errors.Newf("unknown log level %q; allowed: debug, info, warn, error", level)
	}
	options := &slog.HandlerOptions{Level: threshold, ReplaceAttr: redactAttribute}
	switch format {
	case "json":
		return slog.New(slog.NewJSONHandler(out, options)), nil
	case "text":
		return slog.New(slog.NewTextHandler(out, options)), nil
	default:
		return nil, errors.Newf("unknown log format %q; allowed: json, text", format)
	}
}

// redacted replaces values of secretKeys: callers' data and credentials.
const redacted = "[redacted]"

// secretKeys are the attribute keys whose values are never written, in lower case
// and with hyphens.
var secretKeys = map[string]bool{
	"answer":              true,
	"authorization":       true,
	"body":                true,
	"cookie":              true,
	"header":              true,
	"headers":             true,
	"password":            true,
	"proxy-authorization": true,
	"secret":              true,
	"set-cookie":          true,
	"token":               true,
}

// redactAttribute redacts secrets that are logged by mistake, and reduces errors to
// their text, without stack traces.
func redactAttribute(_ []string, attribute slog.Attr) slog.Attr {
	if isSecret(attribute.Key) {
		return slog.String(attribute.Key, redacted)
	}
	if attribute.Value.Kind() != slog.KindAny { // no error, and Any would allocate
		return attribute
	}
	if err, ok := attribute.Value.Any().(error); ok {
		return slog.String(attribute.Key, err.Error())
	}
	return attribute
}

// secretsByKey remembers for each key that was logged whether it is one of secretKeys.
var secretsByKey sync.Map

// isSecret reports whether the key is one of secretKeys, in any case and with hyphens or underscores.
// Keys are constants of the code, so few are remembered.
func isSecret(key string) bool {
	if known, ok := secretsByKey.Load(key); ok {
		return known.(bool)
	}
	secret := secretKeys[strings.ReplaceAll(strings.ToLower(key), "_", "-")]
	secretsByKey.Store(key, secret)
	return secret
}
