package tomlfile

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// sizeUnit is a unit of a number of bytes.
type sizeUnit struct {
	name  string
	bytes int64
}

// sizeUnits has B last, because it is a suffix of the other units.
var sizeUnits = []sizeUnit{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"TiB", 1 << 40},
	{"B", 1},
}

// Size returns a size in bytes, which the file gives as a string with a unit. It returns
// the fallback, which need not be in the range, if the key is absent, or if the value is
// not a size from low to high, both included; in the second case it adds a finding.
func (t *Table) Size(key string, fallback, low, high int64) int64 {
	value, ok := t.get(key)
	if !ok {
		return fallback
	}
	allowed := fmt.Sprintf(`a number with the unit B, KiB, MiB, GiB or TiB, such as "512MiB", from %s to %s`,
		FormatSize(low), FormatSize(high))
	text, ok := value.(string)
	if !ok {
		t.Report(key, allowed, "%s = %v has no unit", t.KeyPath(key), value)
		return fallback
	}
	size, ok := parseSize(text)
	if !ok {
		t.Report(key, allowed, "%s = %q is no size", t.KeyPath(key), text)
		return fallback
	}
	if size < low || size > high {
		t.Report(key, allowed, "%s = %q is out of range", t.KeyPath(key), text)
		return fallback
	}
	return size
}

// parseSize parses a size such as "512MiB" or "1.5 GiB" and returns its whole bytes,
// rounded down; a larger size than math.MaxInt64 gives math.MaxInt64. It returns false
// if the text is not a float64 of at least 0 with a unit.
func parseSize(text string) (int64, bool) {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(text, unit.name)
		if !ok {
			continue
		}
		number, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		if err != nil || math.IsNaN(number) || number < 0 {
			return 0, false
		}
		bytes := number * float64(unit.bytes)
		if bytes >= math.MaxInt64 {
			return math.MaxInt64, true
		}
		return int64(bytes), true
	}
	return 0, false
}

// FormatSize formats a number of bytes as a whole number of the largest unit that
// divides it, such as "1536MiB". Zero and negative numbers are in B.
func FormatSize(bytes int64) string {
	for _, unit := range []sizeUnit{sizeUnits[3], sizeUnits[2], sizeUnits[1], sizeUnits[0]} {
		if bytes >= unit.bytes && bytes%unit.bytes == 0 {
			return fmt.Sprintf("%d%s", bytes/unit.bytes, unit.name)
		}
	}
	return fmt.Sprintf("%dB", bytes)
}
