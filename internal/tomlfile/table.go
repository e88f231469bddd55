package tomlfile

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pistachioport/pistachioport/internal/finding"
)

// file is what the tables of one file share.
type file struct {
	name     string
	lines    map[string]int
	findings *finding.List
}

// Table is one table of a file. The getters record which keys are known;
// Finish reports all others.
type Table struct {
	file     *file
	path     string
	values   map[string]any
	known    []string
	readKeys map[string]bool
}

// File returns the file's name as findings give it.
func (t *Table) File() string {
	return t.file.name
}

// Line returns the line of a key, or that of the table if the key is absent.
func (t *Table) Line(key string) int {
	if line, ok := t.file.lines[join(t.path, key)]; ok && key != "" {
		return line
	}
	return max(1, t.file.lines[t.path])
}

// Has reports whether the key is present.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// Report adds a finding at the line of a key.
func (t *Table) Report(key, allowed, format string, args ...any) {
	t.file.findings.Add(finding.Finding{
		File:    t.file.name,
		Line:    t.Line(key),
		Problem: fmt.Sprintf(format, args...),
		Allowed: allowed,
	})
}

// Require reports a key that is absent.
func (t *Table) Require(key, allowed string) {
	if !t.Has(key) {
		t.Report(key, allowed, "%s is missing", t.KeyPath(key))
	}
}

// ReportUnknownKeys reports every key that no getter asked for.
func (t *Table) ReportUnknownKeys() {
	slices.Sort(t.known)
	for _, key := range slices.Sorted(maps.Keys(t.values)) {
		if !t.readKeys[key] {
			t.Report(key, strings.Join(t.known, ", "), "unknown key %q", join(t.path, key))
		}
	}
}

// get returns a key's value and notes the key as known.
func (t *Table) get(key string) (any, bool) {
	if !t.readKeys[key] {
		t.readKeys[key] = true
		t.known = append(t.known, key)
	}
	value, ok := t.values[key]
	return value, ok
}

// KeyPath returns the full path of a key, as messages give it.
func (t *Table) KeyPath(key string) string {
	return join(t.path, key)
}

func (t *Table) child(path string, values map[string]any) *Table {
	return &Table{file: t.file, path: path, values: values, readKeys: map[string]bool{}}
}

// Table returns a sub-table, or nil if it is absent or no table.
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

// Tables returns the elements of an array of tables.
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
			t.Report(element(key, i), "a table", "%s is no table", element(t.KeyPath(key), i))
			continue
		}
		tables = append(tables, t.child(element(t.KeyPath(key), i), values))
	}
	return tables
}
