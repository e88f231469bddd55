package tomlfile

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// String returns a string, or the fallback if the key is absent or wrong.
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

// Choice returns a string that must be one of the choices.
func (t *Table) Choice(key, fallback string, choices ...string) string {
	value, ok := t.get(key)
	if !ok {
		return fallback
	}
	text, ok := value.(string)
	if !ok || !slices.Contains(choices, text) {
		t.Report(key, strings.Join(choices, ", "), "%s has the unknown value %v", t.KeyPath(key), quote(value))
		return fallback
	}
	return text
}

// Strings returns an array of strings.
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
			t.Report(element(key, i), "a string in quotes", "%s is no string", element(t.KeyPath(key), i))
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

// Bool returns a truth value.
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

// Int returns a whole number within the given bounds.
func (t *Table) Int(key string, fallback, low, high int64) int64 {
	value, ok := t.get(key)
	if !ok {
		return fallback
	}
	allowed := span("a whole number", low, high)
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

// Float returns a number within the given bounds; whole numbers will do.
func (t *Table) Float(key string, fallback, low, high float64) float64 {
	value, ok := t.get(key)
	if !ok {
		return fallback
	}
	allowed := span("a number", low, high)
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

// Duration returns a length of time within the given bounds.
func (t *Table) Duration(key string, fallback, low, high time.Duration) time.Duration {
	value, ok := t.get(key)
	if !ok {
		return fallback
	}
	allowed := span(`a number with the unit ms, s, m or h, such as "5s",`, low, high)
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

// firstYear is the first in which a point in time may lie. Earlier ones are
// mistakes, and the system counts time from 1970.
const firstYear = 2000

const timeAllowed = "a time with its zone as in RFC 3339, such as 2027-01-15T05:30:00-03:00"

// Time returns a point in time; zero if absent or wrong.
func (t *Table) Time(key string) time.Time {
	value, ok := t.get(key)
	if !ok {
		return time.Time{}
	}
	at, problem := parseTime(value)
	if problem != "" {
		t.Report(key, timeAllowed, "%s = %v %s", t.KeyPath(key), quote(value), problem)
		return time.Time{}
	}
	return at
}

func parseTime(value any) (at time.Time, problem string) {
	switch v := value.(type) {
	case time.Time:
		if hasNoZone(v) {
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
	if at.Year() < firstYear {
		return time.Time{}, "lies before the year 2000"
	}
	return at, ""
}

// Address returns an IP address with a port, or "" if it is absent or wrong.
func (t *Table) Address(key string) string {
	value, ok := t.get(key)
	if !ok {
		return ""
	}
	text, _ := value.(string)
	if problem := addressProblem(text); problem != "" {
		t.Report(key, addressAllowed, "%s = %v %s", t.KeyPath(key), quote(value), problem)
		return ""
	}
	return text
}

// Addresses returns an array of IP addresses with ports.
func (t *Table) Addresses(key string) []string {
	texts := t.Strings(key)
	for i, text := range texts {
		if problem := addressProblem(text); problem != "" {
			t.Report(element(key, i), addressAllowed, "%s = %q %s", element(t.KeyPath(key), i), text, problem)
		}
	}
	return texts
}

const addressAllowed = `an IP address with a port from 1 to 65535, such as "192.0.2.11:7400"`

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
