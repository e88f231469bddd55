package tomlfile

import (
	"fmt"
	"io"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"

	"github.com/pistachioport/pistachioport/internal/finding"
)

// maxFileBytes is the size of the largest file that is accepted.
const maxFileBytes = 1 << 20

// Read reads a TOML file. If the file can't be read, is larger than 1 MiB or is not
// valid TOML, it adds a finding and returns nil.
func Read(path string, findings *finding.List) *Table {
	data, err := readBounded(path)
	if err != nil {
		findings.Add(finding.Finding{File: path, Problem: err.Error()})
		return nil
	}
	return Parse(path, data, findings)
}

// Parse reads a TOML text. Findings give name as the file. If the text is not valid
// TOML, Parse adds a finding and returns nil.
func Parse(name string, data []byte, findings *finding.List) *Table {
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		findings.Add(parseErrorFinding(name, err))
		return nil
	}
	return &Table{
		file:    &file{name: name, lines: indexLines(string(data)), findings: findings},
		values:  values,
		isKnown: map[string]bool{},
	}
}

// readBounded returns a regular file's content, or an error if it is larger than
// maxFileBytes. The error's text is the problem of a finding.
func readBounded(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Newf("can't be read: %v", errors.UnwrapAll(err))
	}
	if !info.Mode().IsRegular() {
		return nil, errors.New("is not a regular file")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Newf("can't be read: %v", errors.UnwrapAll(err))
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, errors.Newf("can't be read: %v", errors.UnwrapAll(err))
	}
	if len(data) > maxFileBytes {
		return nil, errors.Newf("is larger than %d bytes", maxFileBytes)
	}
	return data, nil
}

// parseErrorFinding returns the finding for an error of the TOML library.
func parseErrorFinding(name string, err error) finding.Finding {
	var parseError toml.ParseError
	if !errors.As(err, &parseError) {
		return finding.Finding{File: name, Problem: fmt.Sprintf("is not TOML: %v", err)}
	}
	return finding.Finding{
		File:    name,
		Line:    parseError.Position.Line,
		Problem: fmt.Sprintf("is not TOML: %s", parseError.Message),
	}
}
