package tomlfile

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pistachioport/pistachioport/internal/finding"
)

// file holds the state that all tables of one file share.
type file struct {
	name     string         // as findings give it
	lines    map[string]int // by path; see indexLines
	findings *finding.List
}

// Table is one table of a file. A getter marks its key as known, also if the key is
// absent; ReportUnknownKeys reports all other keys. A getter adds a finding if its
// value is invalid.
type Table struct {
	file      *file
	path      string
	values    map[string]any
	knownKeys []string
	isKnown   map[string]bool
}

// File returns the file's name as findings give it.
func (t *Table) File() string {
	return t.file.name
}

// Line returns the line of a key, starting at 1, or the table's line if the key is
// absent or empty.
func (t *Table) Line(key string) int {
	if line, ok := t.file.lines[joinPath(t.path, key)]; ok && key != "" {
		return line
	}
	return max(1, t.file.lines[t.path])
}

// Has reports whether the key is present.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// Report adds a finding at the line of a key. The arguments format the problem;
// allowed describes valid values and may be empty.
func (t *Table) Report(key, allowed, format string, args ...any) {
	t.file.findings.Add(finding.Finding{
		File:    t.file.name,
		Line:    t.Line(key),
		Problem: fmt.Sprintf(format, args...),
		Allowed: allowed,
	})
}

// Require adds a finding if the key is absent.
func (t *Table) Require(key, allowed string) {
	if !t.Has(key) {
		t.Report(key, allowed, "%s is missing", t.KeyPath(key))
	}
}

// ReportUnknownKeys adds a finding for every key that no getter has asked for. Call
// it after all getters.
func (t *Table) ReportUnknownKeys() {
	slices.Sort(t.knownKeys)
	for _, key := range slices.Sorted(maps.Keys(t.values)) {
		if !t.isKnown[key] {
			t.Report(key, strings.Join(t.knownKeys, ", "), "unknown key %q", joinPath(t.path, key))
		}
	}
}

// get returns a key's value, if it is present, and marks the key as known.
func (t *Table) get(key string) (any, bool) {
	if !t.isKnown[key] {
		t.isKnown[key] = true
		t.knownKeys = append(t.knownKeys, key)
	}
	value, ok := t.values[key]
	return value, ok
}

// KeyPath returns the path of a key from the file's top level, as in findings.
func (t *Table) KeyPath(key string) string {
	return joinPath(t.path, key)
}

// child returns the table at the given path.
func (t *Table) child(path string, values map[string]any) *Table {
	return &Table{file: t.file, path: path, values: values, isKnown: map[string]bool{}}
}

// Table returns a sub-table, or nil if it is absent or not a table.
func (t *Table) Table(key string) *Table {
	value, ok := t.get(key)
	if !ok {
		return nil
	}
	values, ok := value.(map[string]any)
	if !ok {
		t.Report(key, "a table", "%s is no table", t.KeyPath(key))
		return nil
	}
	return t.child(t.KeyPath(key), values)
}

// Tables returns the elements of an array of tables. It omits elements that are not
// tables, after adding a finding for each.
func (t *Table) Tables(key string) []*Table {
	value, ok := t.get(key)
	if !ok {
		return nil
	}
	var elements []any
	switch array := value.(type) {
	case []map[string]any:
		for _, values := range array {
			elements = append(elements, values)
		}
	case []any:
		elements = array
	default:
		t.Report(key, "an array of tables", "%s is no array of tables", t.KeyPath(key))
		return nil
	}
	var tables []*Table
	for i, value := range elements {
		values, ok := value.(map[string]any)
		if !ok {
			t.Report(elementPath(key, i), "a table", "%s is no table", elementPath(t.KeyPath(key), i))
			continue
		}
		tables = append(tables, t.child(elementPath(t.KeyPath(key), i), values))
	}
	return tables
}
