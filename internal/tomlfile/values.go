package tomlfile

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// String returns a string, or the fallback if the key is absent or invalid.
func (t *Table) String(key, fallback string) string {
	value, ok := t.get(key)
	if !ok {
		return fallback
	}
	text, ok := value.(string)
	if !ok {
		t.Report(key, "a string in quotes", "%s is no string", t.KeyPath(key))
		return fallback
	}
	return text
}

// Choice returns a string that must be one of the choices, or the fallback if the
// key is absent or invalid.
func (t *Table) Choice(key, fallback string, choices ...string) string {
	value, ok := t.get(key)
	if !ok {
		return fallback
	}
	text, ok := value.(string)
	if !ok || !slices.Contains(choices, text) {
		t.Report(key, strings.Join(choices, ", "), "%s has the unknown value %v", t.KeyPath(key), formatValue(value))
		return fallback
	}
	return text
}

// Strings returns an array of strings. It omits elements that are not strings, after
// adding a finding for each.
func (t *Table) Strings(key string) []string {
	value, ok := t.get(key)
	if !ok {
		return nil
	}
	array, ok := value.([]any)
	if !ok {
		t.Report(key, "an array of strings", "%s is no array of strings", t.KeyPath(key))
		return nil
	}
	var texts []string
	for i, value := range array {
		text, ok := value.(string)
		if !ok {
			t.Report(elementPath(key, i), "a string in quotes", "%s is no string", elementPath(t.KeyPath(key), i))
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

// Bool returns a boolean, or the fallback if the key is absent or invalid.
func (t *Table) Bool(key string, fallback bool) bool {
	value, ok := t.get(key)
	if !ok {
		return fallback
	}
	flag, ok := value.(bool)
	if !ok {
		t.Report(key, "true or false", "%s is no truth value", t.KeyPath(key))
		return fallback
	}
	return flag
}

// Int returns an integer from low to high, or the fallback if the key is absent or
// invalid.
func (t *Table) Int(key string, fallback, low, high int64) int64 {
	value, ok := t.get(key)
	if !ok {
		return fallback
	}
	allowed := formatRange("a whole number", low, high)
	number, ok := value.(int64)
	if !ok {
		t.Report(key, allowed, "%s is no whole number", t.KeyPath(key))
		return fallback
	}
	if number < low || number > high {
		t.Report(key, allowed, "%s = %d is out of range", t.KeyPath(key), number)
		return fallback
	}
	return number
}

// Float returns a number from low to high, or the fallback if the key is absent or
// invalid. The file may give an integer or a float.
func (t *Table) Float(key string, fallback, low, high float64) float64 {
	value, ok := t.get(key)
	if !ok {
		return fallback
	}
	allowed := formatRange("a number", low, high)
	var number float64
	switch v := value.(type) {
	case int64:
		number = float64(v)
	case float64:
		number = v
	default:
		t.Report(key, allowed, "%s is no number", t.KeyPath(key))
		return fallback
	}
	if math.IsNaN(number) || number < low || number > high {
		t.Report(key, allowed, "%s = %v is out of range", t.KeyPath(key), number)
		return fallback
	}
	return number
}

// Duration returns a duration from low to high, or the fallback if the key is absent
// or invalid. The file gives it as a string with a unit, such as "5s".
func (t *Table) Duration(key string, fallback, low, high time.Duration) time.Duration {
	value, ok := t.get(key)
	if !ok {
		return fallback
	}
	allowed := formatRange(`a number with the unit ms, s, m or h, such as "5s",`, low, high)
	text, ok := value.(string)
	if !ok {
		t.Report(key, allowed, "%s = %v has no unit", t.KeyPath(key), value)
		return fallback
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Report(key, allowed, "%s = %q is no duration", t.KeyPath(key), text)
		return fallback
	}
	if duration < low || duration > high {
		t.Report(key, allowed, "%s = %q is out of range", t.KeyPath(key), text)
		return fallback
	}
	return duration
}

// minYear is the earliest year that a time may have. Earlier times are mistakes, and
// the system represents times as milliseconds since 1970.
const minYear = 2000

const allowedTime = "a time with its zone as in RFC 3339, such as 2027-01-15T05:30:00-03:00"

// Time returns a point in time from the year 2000 on, or the zero time if the key is
// absent or invalid. The file gives it as a TOML time or an RFC 3339 string, in both
// cases with a time zone.
func (t *Table) Time(key string) time.Time {
	value, ok := t.get(key)
	if !ok {
		return time.Time{}
	}
	at, problem := parseTime(value)
	if problem != "" {
		t.Report(key, allowedTime, "%s = %v %s", t.KeyPath(key), formatValue(value), problem)
		return time.Time{}
	}
	return at
}

// parseTime returns the time, or the problem of a finding.
func parseTime(value any) (at time.Time, problem string) {
	switch v := value.(type) {
	case time.Time:
		if isWithoutZone(v) {
			return time.Time{}, "has no zone"
		}
		at = v
	case string:
		parsed, err := time.Parse(time.RFC3339, v)
		if err != nil {
			return time.Time{}, "is no time"
		}
		at = parsed
	default:
		return time.Time{}, "is no time"
	}
	if at.Year() < minYear {
		return time.Time{}, "lies before the year 2000"
	}
	return at, ""
}

// Address returns an IP address with a port, or "" if the key is absent or invalid.
func (t *Table) Address(key string) string {
	value, ok := t.get(key)
	if !ok {
		return ""
	}
	text, _ := value.(string)
	if problem := addressProblem(text); problem != "" {
		t.Report(key, allowedAddress, "%s = %v %s", t.KeyPath(key), formatValue(value), problem)
		return ""
	}
	return text
}

// Addresses returns an array of strings, with a finding for each one that is not an
// IP address with a port.
func (t *Table) Addresses(key string) []string {
	texts := t.Strings(key)
	for i, text := range texts {
		if problem := addressProblem(text); problem != "" {
			t.Report(elementPath(key, i), allowedAddress, "%s = %q %s", elementPath(t.KeyPath(key), i), text, problem)
		}
	}
	return texts
}

const allowedAddress = `an IP address with a port from 1 to 65535, such as "192.0.2.11:7400"`

// addressProblem returns the problem of a finding, or "" if the text is an IP address
// with a port.
func addressProblem(text string) string {
	if _, err := netip.ParseAddr(text); err == nil {
		return "has no port"
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return "is no IP address with a port"
	}
	if address.Port() == 0 {
		return "has port 0"
	}
	return ""
}
