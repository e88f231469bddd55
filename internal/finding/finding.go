package finding

import "fmt"

// Finding is one fault of one file.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"` // starts at 1; 0: the file as a whole
	Problem string `json:"problem"`
	Allowed string `json:"allowed,omitempty"` // what may stand there instead
}

// String returns the finding as one line of text, led by its place.
func (f Finding) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Allowed == "" {
		return fmt.Sprintf("%s: %s", place, f.Problem)
	}
	return fmt.Sprintf("%s: %s; allowed: %s", place, f.Problem, f.Allowed)
}
