package tomlfile

import (
	"fmt"
	"strings"
	"time"
)

// span describes a kind of value and its bounds.
func span[T any](kind string, low, high T) string {
	return fmt.Sprintf("%s from %v to %v", kind, low, high)
}

// quote returns a value as a file would have it.
func quote(value any) any {
	switch v := value.(type) {
	case string:
		return fmt.Sprintf("%q", v)
	case time.Time:
		if hasNoZone(v) {
			return v.Format("2006-01-02T15:04:05")
		}
		return v.Format(time.RFC3339)
	default:
		return value
	}
}

// hasNoZone reports a time that the library read without a zone.
func hasNoZone(t time.Time) bool {
	return strings.HasSuffix(t.Location().String(), "-local")
}
