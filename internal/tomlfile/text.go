package tomlfile

import (
	"fmt"
	"strings"
	"time"
)

// formatRange describes the allowed values of a kind, for a finding.
func formatRange[T any](kind string, low, high T) string {
	return fmt.Sprintf("%s from %v to %v", kind, low, high)
}

// formatValue returns a value for a finding, written as in a TOML file.
func formatValue(value any) any {
	switch v := value.(type) {
	case string:
		return fmt.Sprintf("%q", v)
	case time.Time:
		if isWithoutZone(v) {
			return v.Format("2006-01-02T15:04:05")
		}
		return v.Format(time.RFC3339)
	default:
		return value
	}
}

// isWithoutZone reports whether the TOML library parsed the time from a text without
// a time zone. The library marks its location with the suffix "-local".
func isWithoutZone(t time.Time) bool {
	return strings.HasSuffix(t.Location().String(), "-local")
}
