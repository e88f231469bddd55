package tomlfile

import (
	"fmt"
	"io"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"

	"github.com/pistachioport/pistachioport/internal/finding"
)

// maxFileSize bounds what is read of one file, in bytes.
const maxFileSize = 1 << 20

// Read reads a TOML file. It adds a finding and returns nil if the file can't
// be read, is too large or is not TOML.
func Read(path string, findings *finding.List) *Table {
	data, err := readBounded(path)
	if err != nil {
		findings.Add(finding.Finding{File: path, Problem: err.Error()})
		return nil
	}
	return Parse(path, data, findings)
}

// Parse reads a TOML text. The name stands for the file in findings.
func Parse(name string, data []byte, findings *finding.List) *Table {
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		findings.Add(syntaxFinding(name, err))
		return nil
	}
	return &Table{
		file:     &file{name: name, lines: indexLines(string(data)), findings: findings},
		values:   values,
		readKeys: map[string]bool{},
	}
}

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
	data, err := io.ReadAll(io.LimitReader(f, maxFileSize+1))
	if err != nil {
		return nil, errors.Newf("can't be read: %v", errors.UnwrapAll(err))
	}
	if len(data) > maxFileSize {
		return nil, errors.Newf("is larger than %d bytes", maxFileSize)
	}
	return data, nil
}

func syntaxFinding(name string, err error) finding.Finding {
	var parse toml.ParseError
	if !errors.As(err, &parse) {
		return finding.Finding{File: name, Problem: fmt.Sprintf("is not TOML: %v", err)}
	}
	return finding.Finding{
		File:    name,
		Line:    parse.Position.Line,
		Problem: fmt.Sprintf("is not TOML: %s", parse.Message),
	}
}
