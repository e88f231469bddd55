package finding

import (
	"cmp"
	"slices"
	"strings"
)

// List collects findings. The zero value is an empty list. It is not safe for
// concurrent use.
type List struct {
	findings []Finding
}

// Add appends one finding.
func (l *List) Add(f Finding) {
	l.findings = append(l.findings, f)
}

// Len returns the number of findings.
func (l *List) Len() int {
	return len(l.findings)
}

// Sorted returns the findings in a new slice, sorted by file and line. Findings of the
// same line stay in the order in which they were added.
func (l *List) Sorted() []Finding {
	sorted := slices.Clone(l.findings)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return sorted
}

// Err returns all findings as one *Error, or nil if there are none.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.Sorted()}
}

// Error is the error of a check, that is, of reading and validating one file or a set
// of files together. It holds all findings of the check, in the order of List.Sorted.
type Error struct {
	Findings []Finding
}

// Error returns one line for each finding.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
