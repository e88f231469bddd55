package finding

import "fmt"

// Finding is one problem in a file.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"` // starts at 1; 0: the problem concerns the whole file
	Problem string `json:"problem"`
	Allowed string `json:"allowed,omitempty"` // description of valid values
}

// String returns the finding as one line of text: "file:line: problem; allowed: ...".
func (f Finding) String() string {
	location := f.File
	if f.Line > 0 {
		location = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Allowed == "" {
		return fmt.Sprintf("%s: %s", location, f.Problem)
	}
	return fmt.Sprintf("%s: %s; allowed: %s", location, f.Problem, f.Allowed)
}
